package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/** The whole outside list of workers as last read. Workers that are gone are left out. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerListSource(List<WorkerRegistration> workers) {}

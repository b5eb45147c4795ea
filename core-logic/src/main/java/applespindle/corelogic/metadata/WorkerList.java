package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The complete external list of workers as last read.
 *
 * @param workers without the workers that are gone
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerList(List<WorkerRegistration> workers) {}

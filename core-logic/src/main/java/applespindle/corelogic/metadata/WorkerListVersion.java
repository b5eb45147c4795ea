package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** The version of the worker list; rises with each whole list that was taken. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerListVersion(long version) {}

package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The version of the worker list.
 *
 * @param version rises with each complete list that was taken over
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerListVersion(long version) {}

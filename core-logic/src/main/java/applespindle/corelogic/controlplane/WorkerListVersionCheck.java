package applespindle.corelogic.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The body of the command that raises the version of the worker list: the version that the sender
 * expects, or null if any is accepted.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record WorkerListVersionCheck(Long from) {}

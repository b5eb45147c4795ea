package applespindle.corelogic.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The body of the command by which a new member of a replica set reports that it has copied the
 * data: the member's id, and the number of the replica set under which it did.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record CaughtUpReport(String id, long number) {}

package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The edges that form a quorum: an acknowledgement may need a majority of them, and an edge that is
 * cut off from the control plane works on only while it reaches a majority.
 *
 * <p>Invariant: two consecutive versions differ in one edge, and the next version is not made
 * before a majority of the edges applies the last. So any two majorities, also of different
 * versions in use at once, have an edge in common.
 *
 * @param version version of the list; rises by one with each change
 * @param addresses peer addresses of the edges
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EdgeList(@JsonProperty("number") long version, List<String> addresses) {}

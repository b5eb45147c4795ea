package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The edges that count, by peer address, when an acknowledgement asks for a majority of them and
 * when an edge goes on without the core. Two lists in a row differ in one edge, and the next is not
 * made before a majority of the edges knows the last: so any two majorities, also of different
 * lists that are in use at once, share an edge.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EdgeList(long number, List<String> addresses) {}

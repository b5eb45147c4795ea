package applespindle.corelogic.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * A validated live request.
 *
 * @param sender who sends it, for the routing rules
 * @param model the model asked for; null if none
 * @param trafficClass the class asked for, for the routing rules
 * @param headers for the routing rules
 * @param prompt its length is used by the routing rules, its prefix to choose the worker
 * @param body what the worker gets
 * @param stream whether the client gets the text as it comes
 * @param idempotencyId idempotency id: the request runs at most once; empty if it may run again
 */
public record LiveRequest(
    String sender,
    String model,
    String trafficClass,
    Map<String, String> headers,
    String prompt,
    ObjectNode body,
    boolean stream,
    String idempotencyId) {}

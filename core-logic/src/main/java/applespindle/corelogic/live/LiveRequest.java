package applespindle.corelogic.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * A live request as checked; body is what a worker gets, prompt what its way and its worker are
 * chosen by.
 */
public record LiveRequest(
    String sender,
    String model,
    String trafficClass,
    Map<String, String> headers,
    String prompt,
    ObjectNode body,
    boolean stream,
    String onceId) {}

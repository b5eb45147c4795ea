package applespindle.corelogic.node;

import java.util.List;

/**
 * Who and where this process is. The id is new whenever its disk is; the incarnation rises at every
 * start.
 */
public record NodeIdentity(
    String id,
    long incarnation,
    String name,
    String zone,
    String role,
    String peerAddress,
    String httpAddress,
    List<String> seeds) {}

package applespindle.corelogic.batch;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.ProxiedRequest;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Turns a submission into the event that accepts it, at the edge that leads the batch. The body is
 * read once; what is checked here has not been looked at before.
 */
public final class SubmissionReader {
  /** Either the event that accepts the batch or the error it is refused with; the other is null. */
  public record ReadResult(Accepted accepted, ApiError error) {
    static ReadResult refused(ApiError error) {
      return new ReadResult(null, error);
    }
  }

  private final BatchFormat format;

  /** Reads the bodies of proxied batches in the given format. */
  public SubmissionReader(BatchFormat format) {
    this.format = format;
  }

  /**
   * Reads the body of a request to submit: an encoded submission of a proxied batch, or the event
   * of a batch of prompts, which the edge of the client has read.
   *
   * @param configuration the configuration this edge works by, or null
   */
  public ReadResult read(byte[] body, RoutingConfiguration configuration, RouteTable routes) {
    BatchSubmission.Forwarded sent = BatchSubmission.Forwarded.decode(body);
    if (sent == null) {
      return new ReadResult(Json.read(body, Accepted.class), null);
    }
    if (configuration == null || configuration.number() < sent.configurationNumber()) {
      return ReadResult.refused(new ApiError.NotReady("an older configuration than the sender's"));
    }
    BatchSubmission submission = sent.submission();
    Route route = routes.findBatch(submission.host(), submission.path());
    if (route == null) {
      return ReadResult.refused(new ApiError.NoMatchingRule());
    }
    BatchFormat.ParsedBatch read = format.parse(submission);
    return read.error() != null
        ? ReadResult.refused(read.error())
        : new ReadResult(accepted(read.batch(), sent.tenant(), configuration, route), null);
  }

  private static Accepted accepted(
      ProxiedBatch batch, String tenant, RoutingConfiguration configuration, Route route) {
    var proxiedRoute =
        new ProxiedRoute(
            batch.host(),
            batch.path(),
            route.name(),
            configuration.number(),
            route.attempts(),
            route.maxQueuedTokens(),
            tenant);
    long retentionMs =
        route.retentionMs() == 0 ? BatchConstants.DEFAULT_RETENTION_MS : route.retentionMs();
    return new Accepted(
        "", digest(batch), route.completionTargetMs(), retentionMs, items(batch), proxiedRoute);
  }

  /** The JSON trees of the items, built without encoding them to text in between. */
  private static List<JsonNode> items(ProxiedBatch batch) {
    List<JsonNode> items = new ArrayList<>(batch.items().size());
    for (ProxiedBatch.Item item : batch.items()) {
      ObjectNode node =
          Json.JSON.createObjectNode().put("id", item.id()).put("target", item.target());
      ArrayNode headers = node.putArray("headers");
      for (ProxiedRequest.Header header : item.headers()) {
        headers.addObject().put("name", header.name()).put("value", header.value());
      }
      items.add(node.put("body", item.body()).put("tokens", item.tokens()));
    }
    return items;
  }

  /**
   * Digest of all contents of a batch. Each field is preceded by its length, so that two different
   * batches never give the same bytes.
   */
  private static String digest(ProxiedBatch batch) {
    MessageDigest digest = sha256();
    update(digest, batch.id());
    update(digest, batch.host());
    update(digest, batch.path());
    for (ProxiedBatch.Item item : batch.items()) {
      update(digest, item.id());
      update(digest, item.target());
      update(digest, item.headers().size());
      for (ProxiedRequest.Header header : item.headers()) {
        update(digest, header.name());
        update(digest, header.value());
      }
      update(digest, item.body());
      update(digest, item.tokens());
    }
    return DIGEST_SCHEME + HexFormat.of().formatHex(digest.digest());
  }

  /** Prefix of these digests; those of the previous version have none and cover other bytes. */
  static final String DIGEST_SCHEME = "fields:";

  /**
   * Whether two digests of one batch id show different contents; false if their schemes differ, as
   * they cannot be compared.
   */
  static boolean haveDifferentContents(String one, String other) {
    return one.startsWith(DIGEST_SCHEME) == other.startsWith(DIGEST_SCHEME) && !one.equals(other);
  }

  private static void update(MessageDigest digest, String text) {
    update(digest, text.getBytes(UTF_8));
  }

  private static void update(MessageDigest digest, byte[] bytes) {
    update(digest, bytes.length);
    digest.update(bytes);
  }

  private static void update(MessageDigest digest, int number) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, number));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java runtime has SHA-256", missing);
    }
  }
}

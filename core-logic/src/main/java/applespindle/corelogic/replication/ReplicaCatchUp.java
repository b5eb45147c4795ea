package applespindle.corelogic.replication;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Brings a newcomer's copies of one set up to date: pages from a majority of the present set, each
 * source of which has refused older set numbers before its first page, so nothing can be committed
 * behind the newcomer's back.
 */
public final class ReplicaCatchUp {
  /** A page of a set; last is empty on the last one. Claims come with the first. */
  public record Page(
      @JsonProperty("keys") List<ReplicaSnapshot> snapshots,
      @JsonProperty("claims") Map<String, String> onceClaims,
      @JsonProperty("last") String lastKey) {}

  private final Environment environment;
  private final Node node;
  private final LogReplicas replicas;

  /** Once-claims by id, the holder's token; empty for the core. */
  private final Map<String, String> claims;

  private final Function<String, String> setNameOfClaim;

  public ReplicaCatchUp(
      Environment environment,
      Node node,
      LogReplicas replicas,
      Map<String, String> claims,
      Function<String, String> setNameOfClaim) {
    this.environment = environment;
    this.node = node;
    this.replicas = replicas;
    this.claims = claims;
    this.setNameOfClaim = setNameOfClaim;
  }

  public void catchUp(
      String name,
      long number,
      List<NodeAddress> sources,
      BooleanSupplier stillPending,
      Runnable whenDone) {
    new CatchUpTask(name, number, sources, stillPending, whenDone).next();
  }

  /**
   * One source after the other, as what the first has brought need not come again from the next.
   * One that is slow or silent holds the next up only for a moment, and once a majority is copied
   * no further one is asked.
   */
  private final class CatchUpTask {
    private final String name;
    private final long number;
    private final List<NodeAddress> sources;
    private final BooleanSupplier stillPending;
    private final Runnable whenDone;
    private int begun;
    private int done;

    CatchUpTask(
        String name,
        long number,
        List<NodeAddress> sources,
        BooleanSupplier stillPending,
        Runnable whenDone) {
      this.name = name;
      this.number = number;
      this.sources = sources;
      this.stillPending = stillPending;
      this.whenDone = whenDone;
    }

    private boolean enough() {
      return done > sources.size() / 2;
    }

    void next() {
      if (begun == sources.size() || enough()) {
        return;
      }
      int source = begun++;
      copyPage(
          name,
          number,
          sources.get(source),
          "",
          stillPending,
          () -> {
            done++;
            if (done == sources.size() / 2 + 1) {
              whenDone.run();
            }
            if (begun == source + 1) {
              next();
            }
          });
      environment.schedule(
          ReplicationConstants.CATCH_UP_NEXT_SOURCE_DELAY_MS,
          () -> {
            if (begun == source + 1) {
              next();
            }
          });
    }
  }

  private void copyPage(
      String name,
      long number,
      NodeAddress source,
      String after,
      BooleanSupplier stillPending,
      Runnable whenDone) {
    if (!stillPending.getAsBoolean()) {
      return;
    }
    node.sendRequest(
        attempt -> new NodeAddress(source.id(), source.address()),
        "copy",
        name,
        JSON.createObjectNode()
            .put("setNumber", number)
            .put("after", after)
            .set("held", JSON.valueToTree(replicas.logEndsOf(name, after))),
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        response -> {
          if (!response.isSuccess()) {
            environment.schedule(
                ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS,
                () -> copyPage(name, number, source, after, stillPending, whenDone));
            return;
          }
          Page page = JSON.convertValue(response.body(), Page.class);
          page.onceClaims()
              .forEach(
                  (id, token) -> {
                    if (claims.putIfAbsent(id, token) == null) {
                      environment.write(List.of(onceClaimRecord(id, token)), () -> {});
                    }
                  });
          boolean fits = true;
          for (ReplicaSnapshot copied : page.snapshots()) {
            fits &= replicas.merge(copied, () -> {});
          }
          if (!fits) {
            environment.schedule(
                ReplicationConstants.CATCH_UP_PAGE_DELAY_MS,
                () -> copyPage(name, number, source, after, stillPending, whenDone));
          } else if (page.lastKey().isEmpty()) {
            environment.write(List.of(), whenDone);
          } else {
            environment.schedule(
                ReplicationConstants.CATCH_UP_PAGE_DELAY_MS,
                () -> copyPage(name, number, source, page.lastKey(), stillPending, whenDone));
          }
        });
  }

  public void servePage(PeerRequest request) {
    JsonNode body = Json.tree(request.body());
    String after = body.path("after").asText();
    replicas.adoptConfiguration(
        request.key(),
        body.path("setNumber").asLong(),
        () -> {
          Map<String, LogEndPosition> held =
              JSON.convertValue(body.path("held"), new TypeReference<>() {});
          List<ReplicaSnapshot> keys =
              replicas.snapshotsOf(
                  request.key(),
                  after,
                  held == null ? Map.of() : held,
                  ReplicationConstants.MAX_CATCH_UP_PAGE_BYTES);
          Map<String, String> ofSet = new LinkedHashMap<>();
          if (after.isEmpty()) {
            claims.forEach(
                (id, token) -> {
                  if (setNameOfClaim.apply(id).equals(request.key())) {
                    ofSet.put(id, token);
                  }
                });
          }
          String last = keys.isEmpty() ? "" : keys.get(keys.size() - 1).key();
          node.respond(request, Response.of(200, new Page(keys, ofSet, last)));
        });
  }

  public static LogRecord onceClaimRecord(String id, String token) {
    return new LogRecord(LogRecord.Kind.ONCE_CLAIM, id, new Epoch(0, token), 0, false, new byte[0]);
  }
}

package applespindle.corelogic.replication;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.Payload;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.EntryChunkRequest;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Brings the replicas of one configuration that a joining node keeps up to date, and serves the
 * pages that other joining nodes request.
 *
 * <p>A joining node fetches all pages from a majority of the present replicas. Each source refuses
 * older configuration versions before it serves its first page, so that nothing can be committed
 * that the joining node misses.
 *
 * <p>State: the once-claims, which belong to the node and are shared with it. What is known of a
 * catch-up under way is in its {@link CatchUpTask}.
 */
public final class ReplicaCatchUp {
  /**
   * A page of a configuration.
   *
   * @param snapshots the next keys in order
   * @param onceClaims by once-id, the token that claimed it; all of them with the first page, none
   *     with others
   * @param lastKey the key to continue after; empty if there are no more pages
   * @param detachedEntries the large entries, whose events are left out of the snapshots; none in
   *     pages of older versions, and in those for them
   */
  public record Page(
      @JsonProperty("keys") List<ReplicaSnapshot> snapshots,
      @JsonProperty("claims") Map<String, String> onceClaims,
      @JsonProperty("last") String lastKey,
      @JsonProperty("apart") @JsonInclude(JsonInclude.Include.NON_EMPTY)
          List<DetachedEntry> detachedEntries) {
    /** A page whose entries are all complete. */
    public Page(List<ReplicaSnapshot> snapshots, Map<String, String> onceClaims, String lastKey) {
      this(snapshots, onceClaims, lastKey, List.of());
    }

    /** Older versions don't send the last component. */
    public Page {
      detachedEntries = detachedEntries == null ? List.of() : detachedEntries;
    }
  }

  private static final byte[] NO_EVENT = {};

  private final Environment environment;
  private final Node node;
  private final LogReplicas replicas;
  private final CatchUpStatistics statistics = new CatchUpStatistics();
  private final EntryTransfers transfers;

  /** By source, the page requests to it: pages that wait for a connection would be dropped. */
  private final Map<String, BoundedTasks> pageRequests = new HashMap<>();

  /** How many catch-ups have begun; those that began first are served first. */
  private long begun;

  private final Map<String, String> onceClaims;
  private final Function<String, String> configurationNameOfOnceId;

  /**
   * @param onceClaims by once-id, the token that claimed it; empty in the control plane
   * @param configurationNameOfOnceId names the configuration that a once-id belongs to
   */
  public ReplicaCatchUp(
      Environment environment,
      Node node,
      LogReplicas replicas,
      Map<String, String> onceClaims,
      Function<String, String> configurationNameOfOnceId) {
    this.environment = environment;
    this.node = node;
    this.replicas = replicas;
    this.transfers = EntryTransfers.pacedByDisk(environment, node::send);
    this.onceClaims = onceClaims;
    this.configurationNameOfOnceId = configurationNameOfOnceId;
  }

  /** Adds how catch-ups go to the node's status. */
  public void addTo(ObjectNode status) {
    statistics.addTo(status);
  }

  /**
   * Fetches all keys of a configuration from a majority of the sources.
   *
   * @param name the name of the configuration
   * @param version its version that this node joins with
   * @param sources the present replicas
   * @param stillPending whether the change of the configuration is still under way; without it no
   *     further page is requested
   * @param whenDone runs once, when a majority of the sources was fetched and synced
   */
  public void catchUp(
      String name,
      long version,
      List<NodeAddress> sources,
      BooleanSupplier stillPending,
      Runnable whenDone) {
    new CatchUpTask(name, version, sources, stillPending, whenDone).startNextSource();
  }

  /**
   * One catch-up. It takes one source after the other, as what the first has sent need not come
   * again from the next. A source that is slow or doesn't answer delays the next one only for a
   * moment, and once a majority was fetched no further one is started.
   *
   * <p>Invariant: the sources are started in order, each once; {@code finished <= started}.
   */
  private final class CatchUpTask {
    private final String name;
    private final long version;
    private final List<NodeAddress> sources;
    private final BooleanSupplier stillPending;
    private final Runnable whenDone;
    private final long startedAtMs = environment.nowMs();
    private final long priority = begun++;
    private int started;
    private int finished;
    private int pages;
    private long bytes;

    CatchUpTask(
        String name,
        long version,
        List<NodeAddress> sources,
        BooleanSupplier stillPending,
        Runnable whenDone) {
      this.name = name;
      this.version = version;
      this.sources = sources;
      this.stillPending = stillPending;
      this.whenDone = whenDone;
    }

    private int majority() {
      return sources.size() / 2 + 1;
    }

    void startNextSource() {
      if (started == sources.size() || finished >= majority()) {
        return;
      }
      int source = started++;
      requestPage(sources.get(source), "", () -> finishSource(source));
      environment.schedule(
          ReplicationConstants.CATCH_UP_NEXT_SOURCE_DELAY_MS, () -> startNextAfter(source));
    }

    private void finishSource(int source) {
      finished++;
      if (finished == majority()) {
        reportDuration();
        whenDone.run();
      }
      startNextAfter(source);
    }

    private void reportDuration() {
      statistics.lastDurationMs = environment.nowMs() - startedAtMs;
      environment.log(
          "repair",
          "Caught up with "
              + name
              + ", "
              + pages
              + " pages, "
              + bytes
              + " bytes of entries, in "
              + statistics.lastDurationMs
              + " ms.");
    }

    /** Starts the next source, unless that was done already. */
    private void startNextAfter(int source) {
      if (started == source + 1) {
        startNextSource();
      }
    }

    private void requestPage(NodeAddress source, String after, Runnable whenFetched) {
      BoundedTasks requests =
          pageRequests.computeIfAbsent(
              source.id(),
              id -> new BoundedTasks(ReplicationConstants.MAX_CONCURRENT_PAGE_REQUESTS));
      requests.submit(priority, () -> sendPageRequest(requests, source, after, whenFetched));
    }

    private void sendPageRequest(
        BoundedTasks requests, NodeAddress source, String after, Runnable whenFetched) {
      if (!stillPending.getAsBoolean()) {
        requests.release();
        return;
      }
      pages++;
      statistics.pagesRequested++;
      node.sendRequest(
          attempt -> new NodeAddress(source.id(), source.address()),
          Operation.FETCH_SNAPSHOT_PAGE,
          name,
          JSON.createObjectNode()
              .put("setNumber", version)
              .put("after", after)
              .put("detachLarge", true)
              .set("held", JSON.valueToTree(replicas.logEndsOf(name, after))),
          PeerRequestConstants.REQUEST_TIMEOUT_MS,
          response -> {
            requests.release();
            if (response.isSuccess()) {
              Page page = JSON.convertValue(response.body(), Page.class);
              completePage(page, source, after, whenFetched);
            } else {
              repeatPage(source, after, whenFetched);
            }
          });
    }

    private void repeatPage(NodeAddress source, String after, Runnable whenFetched) {
      statistics.pagesRepeated++;
      requestPageLater(
          ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, source, after, whenFetched);
    }

    private void completePage(Page page, NodeAddress source, String after, Runnable whenFetched) {
      page.onceClaims().forEach(ReplicaCatchUp.this::addOnceClaim);
      PageAssembly.Listener listener =
          new PageAssembly.Listener() {
            @Override
            public void complete(List<ReplicaSnapshot> snapshots) {
              takePage(page, snapshots, source, after, whenFetched);
            }

            @Override
            public void failed() {
              repeatPage(source, after, whenFetched);
            }
          };
      new PageAssembly(replicas, page, listener)
          .start(transfers, priority, startingWith(source), stillPending);
    }

    private List<NodeAddress> startingWith(NodeAddress source) {
      List<NodeAddress> ordered = new ArrayList<>(List.of(source));
      sources.stream().filter(other -> !other.equals(source)).forEach(ordered::add);
      return ordered;
    }

    private void requestPageLater(
        long delayMs, NodeAddress source, String after, Runnable whenFetched) {
      environment.schedule(delayMs, () -> requestPage(source, after, whenFetched));
    }

    /** Merges a page, then requests the next one, or the same if a part of it didn't fit. */
    private void takePage(
        Page page,
        List<ReplicaSnapshot> snapshots,
        NodeAddress source,
        String after,
        Runnable whenFetched) {
      boolean fits = true;
      for (ReplicaSnapshot snapshot : snapshots) {
        bytes += SnapshotPages.eventBytes(snapshot);
        statistics.bytesFetched += SnapshotPages.eventBytes(snapshot);
        fits &= replicas.merge(snapshot, () -> {});
      }
      if (fits && page.lastKey().isEmpty()) {
        environment.write(List.of(), whenFetched);
        return;
      }
      requestPageLater(
          ReplicationConstants.CATCH_UP_PAGE_DELAY_MS,
          source,
          fits ? page.lastKey() : after,
          whenFetched);
    }
  }

  private void addOnceClaim(String id, String token) {
    if (onceClaims.putIfAbsent(id, token) == null) {
      environment.write(List.of(onceClaimRecord(id, token)), () -> {});
    }
  }

  /**
   * Answers a joining node's request for a page, once the version that it names is synced here and
   * older ones are refused.
   */
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
          Map<String, String> claims = after.isEmpty() ? onceClaimsOf(request.key()) : Map.of();
          String last = keys.isEmpty() ? "" : keys.get(keys.size() - 1).key();
          List<DetachedEntry> detached =
              body.path("detachLarge").asBoolean() ? largeEntriesOf(keys) : List.of();
          statistics.pagesServed++;
          node.respond(
              request,
              Response.of(200, new Page(withoutEvents(keys, detached), claims, last, detached)));
        });
  }

  private static List<DetachedEntry> largeEntriesOf(List<ReplicaSnapshot> snapshots) {
    List<DetachedEntry> large = new ArrayList<>();
    for (ReplicaSnapshot snapshot : snapshots) {
      for (LogEntry entry : snapshot.entries()) {
        if (entry.eventBytes() >= ReplicationConstants.MIN_DETACHED_ENTRY_BYTES) {
          large.add(
              new DetachedEntry(
                  snapshot.key(), entry.sequence(), entry.epoch(), entry.eventBytes()));
        }
      }
    }
    return large;
  }

  private static List<ReplicaSnapshot> withoutEvents(
      List<ReplicaSnapshot> snapshots, List<DetachedEntry> detached) {
    if (detached.isEmpty()) {
      return snapshots;
    }
    return snapshots.stream()
        .map(
            snapshot ->
                snapshot.withEntries(
                    snapshot.entries().stream().map(ReplicaCatchUp::withoutLargeEvent).toList()))
        .toList();
  }

  private static LogEntry withoutLargeEvent(LogEntry entry) {
    return entry.eventBytes() < ReplicationConstants.MIN_DETACHED_ENTRY_BYTES
        ? entry
        : new LogEntry(entry.sequence(), entry.epoch(), entry.snapshot(), NO_EVENT);
  }

  /**
   * Handles a message of a transfer of large entries, as a source or as the joining node.
   *
   * @return false if the message is of another kind
   */
  public boolean handle(Message message, String fromId, String fromAddress) {
    if (message instanceof EntryChunkRequest request) {
      node.send(fromAddress, fromId, chunkOf(request));
    } else if (message instanceof EntryChunk chunk) {
      transfers.handleChunk(chunk, fromId);
    } else {
      return false;
    }
    return true;
  }

  /** The requested part of an entry; one of no bytes if the entry is not held. */
  private EntryChunk chunkOf(EntryChunkRequest request) {
    Optional<LogEntry> held =
        replicas.heldEntry(request.key(), request.sequence(), request.epoch());
    Payload event = held.map(LogEntry::payload).orElse(Payload.of(NO_EVENT));
    int from = Math.max(0, Math.min(request.offset(), event.length()));
    int bytes = Math.min(Math.max(0, request.maxBytes()), event.length() - from);
    return new EntryChunk(
        request.key(),
        request.sequence(),
        request.epoch(),
        request.offset(),
        event.length(),
        event.slice(from, bytes));
  }

  private Map<String, String> onceClaimsOf(String configurationName) {
    Map<String, String> claims = new LinkedHashMap<>();
    onceClaims.forEach(
        (id, token) -> {
          if (configurationNameOfOnceId.apply(id).equals(configurationName)) {
            claims.put(id, token);
          }
        });
    return claims;
  }

  /** The record of a once-claim; an empty token takes the claim back. */
  public static LogRecord onceClaimRecord(String id, String token) {
    return new LogRecord(LogRecord.Kind.ONCE_CLAIM, id, new Epoch(0, token), 0, false, new byte[0]);
  }
}

package applespindle.corelogic.node;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ProductVersion;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.PeerResponse;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryRequest;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryResponse;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * What every process has: a place, a journal, peers to ask and to answer, and the newest roster it
 * knows.
 */
public abstract class Node {

  /** Faults that say for certain that nothing was done, so that another try is safe. */
  private static final Set<String> NOTHING_DONE =
      Set.of("NotOwner", "NoMajority", "NotReady", "NodeStopping", "Overloaded", "NodeIsolated");

  private final class Asking {
    final IntFunction<NodeAddress> targets;
    final String duty;
    final String key;
    final byte[] body;
    final long tryMs;
    final long expiresAt;
    final Consumer<Response> then;
    int tries;

    /** Of every try so far: an answer that comes after the next try has begun still counts. */
    final List<Long> correlations = new ArrayList<>();

    boolean over;

    /** Ends the latest try unless its node is heard of. */
    private Environment.ScheduledTask silence;

    /** Once a try went unanswered, no later refusal may be passed on as "nothing was done". */
    boolean unknown;

    Response lastResponse = Response.of(new ApiError.NotReady("nobody to ask yet"));

    Asking(
        IntFunction<NodeAddress> targets,
        String duty,
        String key,
        byte[] body,
        long tryMs,
        long expiresAt,
        Consumer<Response> then) {
      this.targets = targets;
      this.duty = duty;
      this.key = key;
      this.body = body;
      this.tryMs = tryMs;
      this.expiresAt = expiresAt;
      this.then = then;
    }

    void tryOnce() {
      if (over) {
        return;
      }
      long left = expiresAt - surroundings.now();
      if (left <= 0) {
        finish(lastResponse);
        return;
      }
      NodeAddress target = targets.apply(tries++);
      if (target == null) {
        surroundings.after(Math.min(left, PeerRequestConstants.RETRY_DELAY_MS), this::tryOnce);
        return;
      }
      long correlation = ++lastCorrelation;
      correlations.add(correlation);
      open.put(correlation, this);
      send(
          target.address(),
          target.id(),
          new PeerRequest(
              correlation,
              duty,
              key,
              place.id(),
              place.peerAddress(),
              PeerRequestConstants.MAX_FORWARDS,
              body));
      awaitAnswer(correlation);
    }

    private void awaitAnswer(long correlation) {
      if (silence != null) {
        silence.cancel();
      }
      long left = expiresAt - surroundings.now();
      silence =
          surroundings.after(
              Math.max(0, Math.min(left, tryMs)),
              () -> {
                if (!over && isLatest(correlation) && open.containsKey(correlation)) {
                  unknown = true;
                  tryOnce();
                }
              });
    }

    /** The node that was asked last is still at work: no other one is asked meanwhile. */
    void progressed(long correlation) {
      if (!over && isLatest(correlation)) {
        awaitAnswer(correlation);
      }
    }

    private boolean isLatest(long correlation) {
      return correlations.get(correlations.size() - 1) == correlation;
    }

    void responded(long correlation, Response response) {
      if (NOTHING_DONE.contains(response.faultType())) {
        if (isLatest(correlation)) {
          lastResponse = response;
          surroundings.after(PeerRequestConstants.RETRY_DELAY_MS, this::tryOnce);
        }
      } else {
        finish(response);
      }
    }

    void finish(Response response) {
      if (over) {
        return;
      }
      over = true;
      correlations.forEach(open::remove);
      boolean refusal =
          response.status() == 429 || response.status() == 503 || response.status() == 413;
      then.accept(unknown && refusal ? Response.of(new ApiError.OutcomeUnknown(key)) : response);
    }
  }

  protected final Environment surroundings;
  protected final NodeIdentity place;
  protected final TraceLog journal;

  /** Newest roster known; its number never falls. */
  protected QuorumMembership roster = new QuorumMembership(0, List.of(), List.of());

  public boolean stopping;

  /** Where to look for the core; at first the place's. */
  protected List<String> seeds;

  private final Map<Long, Asking> open = new HashMap<>();
  private long lastCorrelation;
  private final Map<String, Long> counters = new LinkedHashMap<>();

  protected Node(Environment surroundings, NodeIdentity place) {
    this.surroundings = surroundings;
    this.place = place;
    this.seeds = place.seeds();
    this.journal = new TraceLog(surroundings);
  }

  public abstract void start();

  /**
   * What the process was told at its start has changed; of the bounds, only what may change while
   * it runs.
   */
  public void startupChanged(List<String> newSeeds, NodeSettings newBounds) {
    seeds = List.copyOf(newSeeds);
    boundsChanged(newBounds);
  }

  protected void boundsChanged(NodeSettings newer) {}

  /** Replays one record of the log; called before start, in order. */
  public void recover(LogRecord record) {}

  public List<LogRecord> checkpoint() {
    return List.of();
  }

  /** Hands duties over and ends; the callback runs when the process may exit. */
  public abstract void stop(Runnable whenDone);

  /** Empty when ready, else why not. */
  public abstract String notReadyBecause();

  protected abstract void handle(Message message, String fromId, String fromAddress);

  protected abstract void handleAsk(PeerRequest ask);

  public abstract ObjectNode status();

  public NodeIdentity place() {
    return place;
  }

  public TraceLog journal() {
    return journal;
  }

  public Map<String, Long> counters() {
    return counters;
  }

  protected void count(String counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Counts a violated invariant and tells of it. */
  protected void violated(Invariant invariant, String detail) {
    count(invariant.counter());
    surroundings.log("invariant", "Violated: " + invariant + " " + detail + ".");
    surroundings.violated(invariant, detail);
  }

  public void receive(Envelope envelope) {
    if (!envelope.toId().isEmpty() && !envelope.toId().equals(place.id())) {
      return;
    }
    Message message = envelope.message();
    if (message instanceof PeerResponse response) {
      Asking asking = open.remove(response.correlation());
      if (asking != null) {
        asking.responded(
            response.correlation(),
            Response.encoded(
                response.status(), response.body(), response.comeBackSeconds() * 1_000L));
      }
    } else if (message instanceof PeerRequestProgress progress) {
      Asking asking = open.get(progress.correlation());
      if (asking != null) {
        asking.progressed(progress.correlation());
      }
    } else if (message instanceof PeerRequest ask) {
      handleAsk(ask);
    } else if (message instanceof QuorumDiscoveryRequest) {
      if (roster.number() > 0) {
        send(
            envelope.fromAddress(),
            envelope.fromId(),
            new QuorumDiscoveryResponse(roster.number(), Json.bytes(roster)));
      }
    } else if (message instanceof QuorumDiscoveryResponse told) {
      learnRoster(Json.read(told.body(), QuorumMembership.class));
    } else {
      handle(message, envelope.fromId(), envelope.fromAddress());
    }
  }

  protected void learnRoster(QuorumMembership told) {
    if (told.number() > roster.number()) {
      roster = told;
      journal.add("roster", "roster", "number " + told.number());
    }
  }

  public void send(String toAddress, String toId, Message message) {
    surroundings.send(toAddress, new Envelope(place.id(), place.peerAddress(), toId, message));
  }

  public void ask(
      IntFunction<NodeAddress> targets,
      String duty,
      String key,
      Object body,
      long expiryMs,
      Consumer<Response> then) {
    ask(targets, duty, key, body, PeerRequestConstants.ATTEMPT_TIMEOUT_MS, expiryMs, then);
  }

  /** tryMs: how long one node may take to respond before the next is tried. */
  public void ask(
      IntFunction<NodeAddress> targets,
      String duty,
      String key,
      Object body,
      long tryMs,
      long expiryMs,
      Consumer<Response> then) {
    byte[] bytes = body instanceof byte[] raw ? raw : Json.bytes(body);
    new Asking(targets, duty, key, bytes, tryMs, surroundings.now() + expiryMs, then).tryOnce();
  }

  public void respond(PeerRequest ask, Response response) {
    send(
        ask.originAddress(),
        ask.originId(),
        new PeerResponse(
            ask.correlation(),
            response.status(),
            response.comeBackSeconds(),
            response.encodedBody()));
  }

  /** Hands an ask on to whom it belongs; the other responds to the origin directly. */
  protected void handOver(PeerRequest ask, String toId, String toAddress) {
    if (ask.hops() <= 0 || toAddress.isEmpty() || toId.equals(place.id())) {
      respond(ask, Response.of(new ApiError.NotLeader(ask.key())));
      return;
    }
    send(
        toAddress,
        toId,
        new PeerRequest(
            ask.correlation(),
            ask.duty(),
            ask.key(),
            ask.originId(),
            ask.originAddress(),
            ask.hops() - 1,
            ask.body()));
  }

  protected void every(long millis, Runnable duty) {
    surroundings.after(
        millis,
        () -> {
          if (!stopped()) {
            duty.run();
            every(millis, duty);
          }
        });
  }

  private boolean ended;

  public boolean stopped() {
    return ended;
  }

  protected void end() {
    ended = true;
  }

  protected ObjectNode commonStatus() {
    ObjectNode status = JSON.createObjectNode();
    status
        .put("version", ProductVersion.VERSION)
        .put("name", place.name())
        .put("id", place.id())
        .put("incarnation", place.incarnation())
        .put("zone", place.zone())
        .put("role", place.role())
        .put("peer", place.peerAddress())
        .put("stopping", stopping);
    status.set("seeds", JSON.<JsonNode>valueToTree(seeds));
    status.set("roster", JSON.<JsonNode>valueToTree(roster));
    return status;
  }
}

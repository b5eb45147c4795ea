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

  private final class OutgoingRequest {
    final IntFunction<NodeAddress> targets;
    final String operation;
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

    OutgoingRequest(
        IntFunction<NodeAddress> targets,
        String operation,
        String key,
        byte[] body,
        long tryMs,
        long expiresAt,
        Consumer<Response> then) {
      this.targets = targets;
      this.operation = operation;
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
      long left = expiresAt - environment.nowMs();
      if (left <= 0) {
        finish(lastResponse);
        return;
      }
      NodeAddress target = targets.apply(tries++);
      if (target == null) {
        environment.schedule(Math.min(left, PeerRequestConstants.RETRY_DELAY_MS), this::tryOnce);
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
              operation,
              key,
              identity.id(),
              identity.peerAddress(),
              PeerRequestConstants.MAX_FORWARDS,
              body));
      awaitAnswer(correlation);
    }

    private void awaitAnswer(long correlation) {
      if (silence != null) {
        silence.cancel();
      }
      long left = expiresAt - environment.nowMs();
      silence =
          environment.schedule(
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
      if (NOTHING_DONE.contains(response.errorType())) {
        if (isLatest(correlation)) {
          lastResponse = response;
          environment.schedule(PeerRequestConstants.RETRY_DELAY_MS, this::tryOnce);
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

  protected final Environment environment;
  protected final NodeIdentity identity;
  protected final TraceLog traceLog;

  /** Newest roster known; its number never falls. */
  protected QuorumMembership membership = new QuorumMembership(0, List.of(), List.of());

  public boolean stopping;

  /** Where to look for the core; at first the place's. */
  protected List<String> seeds;

  private final Map<Long, OutgoingRequest> open = new HashMap<>();
  private long lastCorrelation;
  private final Map<String, Long> counters = new LinkedHashMap<>();

  protected Node(Environment environment, NodeIdentity identity) {
    this.environment = environment;
    this.identity = identity;
    this.seeds = identity.seeds();
    this.traceLog = new TraceLog(environment);
  }

  public abstract void start();

  /**
   * What the process was told at its start has changed; of the bounds, only what may change while
   * it runs.
   */
  public void reload(List<String> newSeeds, NodeSettings newBounds) {
    seeds = List.copyOf(newSeeds);
    settingsChanged(newBounds);
  }

  protected void settingsChanged(NodeSettings newer) {}

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

  protected abstract void handleRequest(PeerRequest request);

  public abstract ObjectNode status();

  public NodeIdentity identity() {
    return identity;
  }

  public TraceLog traceLog() {
    return traceLog;
  }

  public Map<String, Long> counters() {
    return counters;
  }

  protected void incrementCounter(String counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Counts a violated invariant and tells of it. */
  protected void reportViolation(Invariant invariant, String detail) {
    incrementCounter(invariant.counter());
    environment.log("invariant", "Violated: " + invariant + " " + detail + ".");
    environment.invariantViolated(invariant, detail);
  }

  public void receive(Envelope envelope) {
    if (!envelope.toId().isEmpty() && !envelope.toId().equals(identity.id())) {
      return;
    }
    Message message = envelope.message();
    if (message instanceof PeerResponse response) {
      OutgoingRequest asking = open.remove(response.correlation());
      if (asking != null) {
        asking.responded(
            response.correlation(),
            Response.encoded(
                response.status(), response.body(), response.retryAfterSeconds() * 1_000L));
      }
    } else if (message instanceof PeerRequestProgress progress) {
      OutgoingRequest asking = open.get(progress.correlation());
      if (asking != null) {
        asking.progressed(progress.correlation());
      }
    } else if (message instanceof PeerRequest request) {
      handleRequest(request);
    } else if (message instanceof QuorumDiscoveryRequest) {
      if (membership.number() > 0) {
        send(
            envelope.fromAddress(),
            envelope.fromId(),
            new QuorumDiscoveryResponse(membership.number(), Json.bytes(membership)));
      }
    } else if (message instanceof QuorumDiscoveryResponse told) {
      learnMembership(Json.read(told.body(), QuorumMembership.class));
    } else {
      handle(message, envelope.fromId(), envelope.fromAddress());
    }
  }

  protected void learnMembership(QuorumMembership learned) {
    if (learned.number() > membership.number()) {
      membership = learned;
      traceLog.add("roster", "roster", "number " + learned.number());
    }
  }

  public void send(String toAddress, String toId, Message message) {
    environment.send(toAddress, new Envelope(identity.id(), identity.peerAddress(), toId, message));
  }

  public void sendRequest(
      IntFunction<NodeAddress> targets,
      String operation,
      String key,
      Object body,
      long expiryMs,
      Consumer<Response> then) {
    sendRequest(
        targets, operation, key, body, PeerRequestConstants.ATTEMPT_TIMEOUT_MS, expiryMs, then);
  }

  /** tryMs: how long one node may take to respond before the next is tried. */
  public void sendRequest(
      IntFunction<NodeAddress> targets,
      String operation,
      String key,
      Object body,
      long tryMs,
      long expiryMs,
      Consumer<Response> then) {
    byte[] bytes = body instanceof byte[] raw ? raw : Json.bytes(body);
    new OutgoingRequest(targets, operation, key, bytes, tryMs, environment.nowMs() + expiryMs, then)
        .tryOnce();
  }

  public void respond(PeerRequest request, Response response) {
    send(
        request.originAddress(),
        request.originId(),
        new PeerResponse(
            request.correlation(),
            response.status(),
            response.retryAfterSeconds(),
            response.encodedBody()));
  }

  /** Hands an ask on to whom it belongs; the other responds to the origin directly. */
  protected void forward(PeerRequest request, String toId, String toAddress) {
    if (request.hops() <= 0 || toAddress.isEmpty() || toId.equals(identity.id())) {
      respond(request, Response.of(new ApiError.NotLeader(request.key())));
      return;
    }
    send(
        toAddress,
        toId,
        new PeerRequest(
            request.correlation(),
            request.operation(),
            request.key(),
            request.originId(),
            request.originAddress(),
            request.hops() - 1,
            request.body()));
  }

  protected void repeatEvery(long millis, Runnable duty) {
    environment.schedule(
        millis,
        () -> {
          if (!isTerminated()) {
            duty.run();
            repeatEvery(millis, duty);
          }
        });
  }

  private boolean ended;

  public boolean isTerminated() {
    return ended;
  }

  protected void terminate() {
    ended = true;
  }

  protected ObjectNode commonStatus() {
    ObjectNode status = JSON.createObjectNode();
    status
        .put("version", ProductVersion.VERSION)
        .put("name", identity.name())
        .put("id", identity.id())
        .put("incarnation", identity.incarnation())
        .put("zone", identity.zone())
        .put("role", identity.role())
        .put("peer", identity.peerAddress())
        .put("stopping", stopping);
    status.set("seeds", JSON.<JsonNode>valueToTree(seeds));
    status.set("roster", JSON.<JsonNode>valueToTree(membership));
    return status;
  }
}

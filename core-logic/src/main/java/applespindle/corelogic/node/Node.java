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
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * What every process has: its identity, requests to and from other nodes, the newest membership of
 * the control plane that it knows, counters, and a trace of what happened. All calls and callbacks
 * are on the process's logic thread.
 */
public abstract class Node {
  protected final Environment environment;
  protected final NodeIdentity identity;
  protected final TraceLog traceLog;

  /** The newest membership of the control plane that is known; its number never falls. */
  protected QuorumMembership membership = new QuorumMembership(0, List.of(), List.of());

  /** Whether a graceful shutdown has begun. */
  protected boolean stopping;

  /** Peer addresses at which the control plane may be found. */
  protected List<String> seeds;

  private final PendingRequests pendingRequests = new PendingRequests();
  private final Map<String, Long> counters = new LinkedHashMap<>();
  private boolean terminated;

  protected Node(Environment environment, NodeIdentity identity) {
    this.environment = environment;
    this.identity = identity;
    this.seeds = identity.seeds();
    this.traceLog = new TraceLog(environment);
  }

  // ---- lifecycle

  /** Starts the node's timers; called once, after the log was recovered. */
  public abstract void start();

  /** Applies reloaded settings, as far as they may change while the process runs. */
  public void reload(List<String> newSeeds, NodeSettings newSettings) {
    seeds = List.copyOf(newSeeds);
    settingsChanged(newSettings);
  }

  /** Called when settings were reloaded. */
  protected void settingsChanged(NodeSettings newer) {}

  /** Replays one record of the log; called before {@link #start}, in order. */
  public void recover(LogRecord record) {}

  /** The records of a checkpoint, which replace the log written so far. */
  public List<LogRecord> checkpoint() {
    return List.of();
  }

  /** Shuts down gracefully; the callback runs when the process may exit. */
  public abstract void stop(Runnable whenDone);

  /** Empty if the node is ready to serve, else the reason why not. */
  public abstract String notReadyReason();

  /** Whether a graceful shutdown has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /** Whether the node has shut down; no timer of it has an effect any more. */
  public boolean isTerminated() {
    return terminated;
  }

  protected void terminate() {
    terminated = true;
  }

  /**
   * Runs a task at regular intervals, first after one interval, until the node has terminated. A
   * run that throws an exception is followed by the next one all the same.
   */
  protected void repeatEvery(long intervalMs, Runnable task) {
    environment.schedule(
        intervalMs,
        () -> {
          if (isTerminated()) {
            return;
          }
          try {
            task.run();
          } finally {
            repeatEvery(intervalMs, task);
          }
        });
  }

  // ---- status, counters and invariants

  /** The node's state for operators. */
  public abstract ObjectNode status();

  /** Who and where this process is. */
  public NodeIdentity identity() {
    return identity;
  }

  /** What happened in this process of late. */
  public TraceLog traceLog() {
    return traceLog;
  }

  /** The counters by name, as metrics show them. */
  public Map<String, Long> counters() {
    return counters;
  }

  protected void incrementCounter(String counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Counts and logs a violated invariant; tests end there. */
  protected void reportViolation(Invariant invariant, String detail) {
    incrementCounter(invariant.counter());
    environment.log("invariant", "Violated: " + invariant + " " + detail + ".");
    environment.invariantViolated(invariant, detail);
  }

  // ---- messages

  /** Handles a message other than requests, their responses, and discovery. */
  protected abstract void handle(Message message, String fromId, String fromAddress);

  /** Handles a request of another node, or of this one; it gets one response. */
  protected abstract void handleRequest(PeerRequest request);

  /** Receives a message; one addressed to an earlier process at this address is dropped. */
  public void receive(Envelope envelope) {
    if (!envelope.toId().isEmpty() && !envelope.toId().equals(identity.id())) {
      return;
    }
    Message message = envelope.message();
    if (message instanceof PeerResponse response) {
      pendingRequests.handleResponse(response);
    } else if (message instanceof PeerRequestProgress progress) {
      pendingRequests.handleProgress(progress);
    } else if (message instanceof PeerRequest request) {
      handleRequest(request);
    } else if (message instanceof QuorumDiscoveryRequest) {
      if (membership.version() > 0) {
        send(
            envelope.fromAddress(),
            envelope.fromId(),
            new QuorumDiscoveryResponse(membership.version(), Json.bytes(membership)));
      }
    } else if (message instanceof QuorumDiscoveryResponse response) {
      learnMembership(Json.read(response.body(), QuorumMembership.class));
    } else {
      handle(message, envelope.fromId(), envelope.fromAddress());
    }
  }

  /** Adopts a membership of the control plane if it is newer than the one known. */
  protected void learnMembership(QuorumMembership learned) {
    if (learned.version() > membership.version()) {
      membership = learned;
      traceLog.add("roster", "roster", "number " + learned.version());
    }
  }

  /** Sends a message; an empty id means whoever is at the address. */
  public void send(String toAddress, String toId, Message message) {
    environment.send(toAddress, new Envelope(identity.id(), identity.peerAddress(), toId, message));
  }

  /** Sends a request with the usual time for an attempt. */
  public void sendRequest(
      IntFunction<NodeAddress> targets,
      Operation operation,
      String key,
      Object body,
      long timeoutMs,
      Consumer<Response> callback) {
    sendRequest(
        targets,
        operation,
        key,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        timeoutMs,
        callback);
  }

  /**
   * Sends a request, attempt by attempt, until a node gives a final response or the time is up.
   *
   * @param targets the node for each attempt, counted from 0; null if none is known at present
   * @param body written as JSON, unless it is bytes already
   * @param attemptTimeoutMs how long to wait for one node before the next attempt
   * @param callback runs exactly once
   */
  public void sendRequest(
      IntFunction<NodeAddress> targets,
      Operation operation,
      String key,
      Object body,
      long attemptTimeoutMs,
      long timeoutMs,
      Consumer<Response> callback) {
    byte[] bytes = body instanceof byte[] encoded ? encoded : Json.bytes(body);
    long expiresAt = environment.nowMs() + timeoutMs;
    new OutgoingRequest(
            environment,
            this::sendAttempt,
            pendingRequests,
            targets,
            operation,
            key,
            bytes,
            attemptTimeoutMs,
            expiresAt,
            callback)
        .sendAttempt();
  }

  private long sendAttempt(OutgoingRequest request, NodeAddress target) {
    long correlation = pendingRequests.register(request);
    send(
        target.address(),
        target.id(),
        new PeerRequest(
            correlation,
            request.operation,
            request.key,
            identity.id(),
            identity.peerAddress(),
            PeerRequestConstants.MAX_FORWARDS,
            request.body));
    return correlation;
  }

  /** Sends the response to the origin of the request, which may have been forwarded. */
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

  /** Forwards a request to the node that leads its key, which responds to the origin directly. */
  public void forward(PeerRequest request, String toId, String toAddress) {
    if (request.hops() <= 0 || toAddress.isEmpty() || toId.equals(identity.id())) {
      respond(request, Response.of(new ApiError.NotLeader(request.key())));
      return;
    }
    send(
        toAddress,
        toId,
        new PeerRequest(
            request.correlation(),
            request.operationName(),
            request.key(),
            request.originId(),
            request.originAddress(),
            request.hops() - 1,
            request.body()));
  }

  /** The part of the status that all nodes have. */
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

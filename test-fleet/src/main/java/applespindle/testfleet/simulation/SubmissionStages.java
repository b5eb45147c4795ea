package applespindle.testfleet.simulation;

import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Operation;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * When each stage of the submission of a proxied batch was reached, by batch and edge, as seen in
 * the messages of the edges. It explains scenarios that fail because batches are accepted late.
 */
public final class SubmissionStages {
  /** In the order in which a batch goes through them. */
  enum Stage {
    TRIED("tried"),
    ARRIVED("arrived"),
    ROOM_ASKED("room asked"),
    ROOM_ANSWERED("room answered"),
    CLAIM_TRIED("claim tried"),
    CLAIM_ASKED("claim asked"),
    CLAIM_SETTLING("claim settling"),
    APPEND_SENT("append sent"),
    COMMITTED("committed"),
    ANSWERED("answered");

    private final String label;

    Stage(String label) {
      this.label = label;
    }
  }

  private static final String RECORD = "batch/";
  private static final String ACCEPTED = "Batch accepted: ";

  /** The stages of one batch at one edge, in simulated microseconds. */
  private static final class SubmissionAttempt {
    final String edge;
    final Map<Stage, Long> reachedUs = new EnumMap<>(Stage.class);

    SubmissionAttempt(String edge) {
      this.edge = edge;
    }
  }

  private final Simulation simulation;

  /** By the client's id of a batch; in the order of the tries. */
  private final Map<String, List<SubmissionAttempt>> attempts = new LinkedHashMap<>();

  /** By edge, the batch that its present event submits. */
  private final Map<String, String> arriving = new HashMap<>();

  /** By the id of its record without the prefix, the id that the client gave to the batch. */
  private final Map<String, String> clientIds = new HashMap<>();

  /** By edge and correlation of a capacity request, the batch that waits for its response. */
  private final Map<String, String> roomAsked = new HashMap<>();

  SubmissionStages(Simulation simulation) {
    this.simulation = simulation;
  }

  /** The client begins an attempt. */
  public void tried(String clientId, SimulatedProcess edge) {
    attempts
        .computeIfAbsent(clientId, unseen -> new ArrayList<>())
        .add(new SubmissionAttempt(edge.name));
    reach(clientId, edge, Stage.TRIED);
  }

  /** The edge begins to read the body. */
  public void arrived(String clientId, SimulatedProcess edge) {
    arriving.put(edge.name, clientId);
    reach(clientId, edge, Stage.ARRIVED);
  }

  /** The client receives the acceptance. */
  public void answered(String clientId, SimulatedProcess edge) {
    reach(clientId, edge, Stage.ANSWERED);
  }

  /** A message leaves an edge, once the event that sends it is done. */
  void sent(SimulatedProcess from, Message message) {
    if (attempts.isEmpty()) {
      return;
    }
    if (message instanceof Message.PeerRequest request) {
      asked(from, request);
    } else if (message instanceof Message.VoteRequest promise) {
      reachKey(promise.key(), from, promise.preVote() ? Stage.CLAIM_TRIED : Stage.CLAIM_ASKED);
    } else if (message instanceof Message.AppendRequest append) {
      boolean hasEvent = append.entries().stream().anyMatch(entry -> entry.eventBytes() > 0);
      reachKey(append.key(), from, hasEvent ? Stage.APPEND_SENT : Stage.CLAIM_SETTLING);
    }
  }

  private void asked(SimulatedProcess from, Message.PeerRequest request) {
    if (request.operation() == Operation.SUBMIT_BATCH && arriving.containsKey(from.name)) {
      clientIds.put(recordId(request.key()), arriving.remove(from.name));
    } else if (request.operation() == Operation.UPDATE_BATCH_CAPACITY) {
      var body = Simulation.tree(request.body());
      String clientId = clientIds.get(body.path("batch").asText());
      if (clientId != null && body.path("reserve").asBoolean()) {
        roomAsked.put(from.name + " " + request.correlation(), clientId);
        reach(clientId, from, Stage.ROOM_ASKED);
      }
    }
  }

  void received(SimulatedProcess by, Message message) {
    if (message instanceof Message.PeerResponse response) {
      String clientId = roomAsked.remove(by.name + " " + response.correlation());
      if (clientId != null) {
        reach(clientId, by, Stage.ROOM_ANSWERED);
      }
    }
  }

  void logged(SimulatedProcess by, String sentence) {
    if (sentence.startsWith(ACCEPTED)) {
      String record = sentence.substring(ACCEPTED.length()).split(",")[0];
      reachKey(RECORD + record, by, Stage.COMMITTED);
    }
  }

  private static String recordId(String key) {
    return key.startsWith(RECORD) ? key.substring(RECORD.length()) : key;
  }

  private void reachKey(String key, SimulatedProcess edge, Stage stage) {
    String clientId = clientIds.get(recordId(key));
    if (clientId != null) {
      reach(clientId, edge, stage);
    }
  }

  /** Counts for the latest attempt to that edge; the first time counts. */
  private void reach(String clientId, SimulatedProcess edge, Stage stage) {
    List<SubmissionAttempt> tries = attempts.get(clientId);
    for (int index = tries.size() - 1; index >= 0; index--) {
      if (tries.get(index).edge.equals(edge.name)) {
        tries.get(index).reachedUs.putIfAbsent(stage, simulation.nowUs());
        return;
      }
    }
  }

  /** A line for each attempt: in ms since the first try, when each stage was reached. */
  public String report() {
    StringBuilder report = new StringBuilder();
    attempts.forEach((clientId, tries) -> report(report, clientId, tries));
    return report.toString();
  }

  private static void report(StringBuilder report, String clientId, List<SubmissionAttempt> tries) {
    long firstUs = tries.get(0).reachedUs.get(Stage.TRIED);
    for (SubmissionAttempt attempt : tries) {
      report.append("  ").append(clientId).append(" at ").append(attempt.edge).append(':');
      attempt.reachedUs.forEach(
          (stage, atUs) ->
              report
                  .append(' ')
                  .append(stage.label)
                  .append(' ')
                  .append((atUs - firstUs) / 1_000)
                  .append(','));
      report.append('\n');
    }
  }
}

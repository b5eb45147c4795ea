package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The claims under way in one node: at most one for each key; whoever asks meanwhile hears of its
 * outcome too.
 */
public final class Elections {
  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  private final Function<String, ReplicaConfiguration> configurationOf;
  private final Consumer<ReplicatedLogLeader> electedListener;
  private final boolean quietWhenIdle;
  private final Map<String, ReplicatedLogLeader> candidates = new HashMap<>();
  private final Map<String, List<Consumer<ElectionOutcome>>> waiting = new HashMap<>();

  public Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> setsOf,
      Consumer<ReplicatedLogLeader> whenOwned) {
    this(environment, nodeId, sender, setsOf, whenOwned, false);
  }

  public Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> setsOf,
      Consumer<ReplicatedLogLeader> whenOwned,
      boolean quietWhenIdle) {
    this.quietWhenIdle = quietWhenIdle;
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.configurationOf = setsOf;
    this.electedListener = whenOwned;
  }

  public void elect(String key, boolean handedOver, Consumer<ElectionOutcome> then) {
    List<Consumer<ElectionOutcome>> others = waiting.get(key);
    if (others != null) {
      others.add(then);
      return;
    }
    waiting.put(key, new ArrayList<>(List.of(then)));
    ReplicatedLogLeader[] holder = new ReplicatedLogLeader[1];
    holder[0] =
        new ReplicatedLogLeader(
            environment,
            nodeId,
            sender,
            key,
            configurationOf.apply(key),
            handedOver,
            quietWhenIdle,
            outcome -> {
              candidates.remove(key);
              if (outcome.result() == ElectionResult.ELECTED) {
                electedListener.accept(holder[0]);
              }
              waiting.remove(key).forEach(each -> each.accept(outcome));
            });
    if (holder[0].state() == ReplicatedLogLeader.LeadershipState.ELECTING) {
      candidates.put(key, holder[0]);
    }
  }

  /** The key while its claim is under way, else null. */
  public ReplicatedLogLeader inProgress(String key) {
    return candidates.get(key);
  }

  public void handleVoteResponse(VoteResponse message, String fromId) {
    ReplicatedLogLeader candidate = candidates.get(message.key());
    if (candidate != null) {
      candidate.handleVoteResponse(message, fromId);
    }
  }

  public void handleLogFetchResponse(LogFetchResponse message) {
    ReplicatedLogLeader candidate = candidates.get(message.key());
    if (candidate != null) {
      candidate.handleLogFetchResponse(message);
    }
  }

  /** Lets every claim under way go on with the sets as they are known now. */
  public void reconfigure() {
    List.copyOf(candidates.values())
        .forEach(candidate -> candidate.reconfigure(configurationOf.apply(candidate.key)));
  }
}

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
  private final Environment surroundings;
  private final String nodeId;
  private final MessageSender sender;
  private final Function<String, ReplicaConfiguration> setsOf;
  private final Consumer<ReplicatedLogLeader> whenOwned;
  private final boolean quietWhenIdle;
  private final Map<String, ReplicatedLogLeader> claiming = new HashMap<>();
  private final Map<String, List<Consumer<ElectionOutcome>>> waiting = new HashMap<>();

  public Elections(
      Environment surroundings,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> setsOf,
      Consumer<ReplicatedLogLeader> whenOwned) {
    this(surroundings, nodeId, sender, setsOf, whenOwned, false);
  }

  public Elections(
      Environment surroundings,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> setsOf,
      Consumer<ReplicatedLogLeader> whenOwned,
      boolean quietWhenIdle) {
    this.quietWhenIdle = quietWhenIdle;
    this.surroundings = surroundings;
    this.nodeId = nodeId;
    this.sender = sender;
    this.setsOf = setsOf;
    this.whenOwned = whenOwned;
  }

  public void claim(String key, boolean handedOver, Consumer<ElectionOutcome> then) {
    List<Consumer<ElectionOutcome>> others = waiting.get(key);
    if (others != null) {
      others.add(then);
      return;
    }
    waiting.put(key, new ArrayList<>(List.of(then)));
    ReplicatedLogLeader[] holder = new ReplicatedLogLeader[1];
    holder[0] =
        new ReplicatedLogLeader(
            surroundings,
            nodeId,
            sender,
            key,
            setsOf.apply(key),
            handedOver,
            quietWhenIdle,
            outcome -> {
              claiming.remove(key);
              if (outcome.claim() == ElectionResult.OWNED) {
                whenOwned.accept(holder[0]);
              }
              waiting.remove(key).forEach(each -> each.accept(outcome));
            });
    if (holder[0].state() == ReplicatedLogLeader.LeadershipState.CLAIMING) {
      claiming.put(key, holder[0]);
    }
  }

  /** The key while its claim is under way, else null. */
  public ReplicatedLogLeader claiming(String key) {
    return claiming.get(key);
  }

  public void promised(VoteResponse message, String fromId) {
    ReplicatedLogLeader claimedKey = claiming.get(message.key());
    if (claimedKey != null) {
      claimedKey.promised(message, fromId);
    }
  }

  public void logPart(LogFetchResponse message) {
    ReplicatedLogLeader claimedKey = claiming.get(message.key());
    if (claimedKey != null) {
      claimedKey.logPart(message);
    }
  }

  /** Lets every claim under way go on with the sets as they are known now. */
  public void changeSets() {
    List.copyOf(claiming.values())
        .forEach(claimedKey -> claimedKey.changeSets(setsOf.apply(claimedKey.key)));
  }
}

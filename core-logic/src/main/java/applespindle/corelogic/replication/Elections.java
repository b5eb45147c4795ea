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
 * The elections in which this node is a candidate, by key.
 *
 * <p>Invariants: there is at most one election for each key; every caller that requests it while it
 * runs gets its outcome, exactly once. An elected leader is passed to the listener before any
 * caller gets the outcome, and isn't kept here.
 */
public final class Elections {
  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  private final Function<String, ReplicaConfiguration> configurationOf;
  private final Consumer<ReplicatedLogLeader> electedListener;
  private final boolean quietWhenIdle;
  private final EventRetention retention;
  private final Map<String, ReplicatedLogLeader> candidates = new HashMap<>();
  private final Map<String, List<Consumer<ElectionOutcome>>> waiting = new HashMap<>();

  /** Elections of leaders that send every heartbeat to every replica. */
  public Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> configurationOf,
      Consumer<ReplicatedLogLeader> electedListener) {
    this(environment, nodeId, sender, configurationOf, electedListener, false);
  }

  /** The same, of leaders that keep of the events what the retention says. */
  public Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> configurationOf,
      Consumer<ReplicatedLogLeader> electedListener,
      EventRetention retention) {
    this(environment, nodeId, sender, configurationOf, electedListener, false, retention);
  }

  /**
   * @param configurationOf the replicas of a key, as far as this node knows; {@link
   *     ReplicaConfiguration#NONE} if it doesn't
   * @param electedListener gets each leader once it is established
   * @param quietWhenIdle whether leaders spare replicas that have everything most heartbeats, as
   *     those know by other messages that this node lives
   */
  public Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> configurationOf,
      Consumer<ReplicatedLogLeader> electedListener,
      boolean quietWhenIdle) {
    this(
        environment,
        nodeId,
        sender,
        configurationOf,
        electedListener,
        quietWhenIdle,
        EventRetention.KEEP_ALL);
  }

  private Elections(
      Environment environment,
      String nodeId,
      MessageSender sender,
      Function<String, ReplicaConfiguration> configurationOf,
      Consumer<ReplicatedLogLeader> electedListener,
      boolean quietWhenIdle,
      EventRetention retention) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.configurationOf = configurationOf;
    this.electedListener = electedListener;
    this.quietWhenIdle = quietWhenIdle;
    this.retention = retention;
  }

  /**
   * Makes this node a candidate for the key, unless it is one already.
   *
   * @param leadershipTransferred whether the former leader has transferred the key, so that
   *     replicas vote even if they were in contact with it recently
   * @param callback gets the outcome; possibly before this returns
   */
  public void elect(String key, boolean leadershipTransferred, Consumer<ElectionOutcome> callback) {
    List<Consumer<ElectionOutcome>> others = waiting.get(key);
    if (others != null) {
      others.add(callback);
      return;
    }
    waiting.put(key, new ArrayList<>(List.of(callback)));
    Candidacy candidacy = new Candidacy(key);
    ReplicatedLogLeader candidate =
        new ReplicatedLogLeader(
            environment,
            nodeId,
            sender,
            key,
            configurationOf.apply(key),
            leadershipTransferred,
            quietWhenIdle,
            retention,
            candidacy::finish);
    candidacy.candidate = candidate;
    if (candidate.state() == ReplicatedLogLeader.LeadershipState.ELECTING) {
      candidates.put(key, candidate);
    }
  }

  /** Ties the outcome of an election to the candidate, which is known only after it has begun. */
  private final class Candidacy {
    private final String key;
    private ReplicatedLogLeader candidate;

    Candidacy(String key) {
      this.key = key;
    }

    void finish(ElectionOutcome outcome) {
      candidates.remove(key);
      if (outcome.result() == ElectionResult.ELECTED) {
        electedListener.accept(candidate);
      }
      waiting.remove(key).forEach(each -> each.accept(outcome));
    }
  }

  /** The candidate for the key while its election runs, else null. */
  public ReplicatedLogLeader inProgress(String key) {
    return candidates.get(key);
  }

  /** Takes a replica's response; ignored if there is no election for its key. */
  public void handleVoteResponse(VoteResponse message, String fromId) {
    ReplicatedLogLeader candidate = candidates.get(message.key());
    if (candidate != null) {
      candidate.handleVoteResponse(message, fromId);
    }
  }

  /** Takes a part of a log; ignored if there is no election for its key. */
  public void handleLogFetchResponse(LogFetchResponse message) {
    ReplicatedLogLeader candidate = candidates.get(message.key());
    if (candidate != null) {
      candidate.handleLogFetchResponse(message);
    }
  }

  /** Continues every election with the configurations as they are known now. */
  public void reconfigure() {
    List.copyOf(candidates.values())
        .forEach(candidate -> candidate.reconfigure(configurationOf.apply(candidate.key)));
  }
}

package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.DutyConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.duty.DutyClaim;
import applespindle.corelogic.duty.DutyState;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * One duty at this node: claims it when this node becomes the leader of its log, writes down what
 * is to be done, and makes the calls.
 *
 * <p>Transitions: {@code NOT_HELD -> AWAITING_LEASE} if this node was a holder before the present
 * one, else {@code NOT_HELD -> CLAIMING}; {@code CLAIMING -> IDLE} once the claim is committed;
 * {@code IDLE -> COMMITTING} for new intents, {@code IDLE -> CONFIRMING} for open ones; both lead
 * to {@code CALLING}; an answer leads to {@code IDLE}, or to {@code PAUSED} and then {@code IDLE};
 * one that says that a higher fencing token was seen to {@code REREADING}, and if this node still
 * leads to another claim. The loss of the leadership leads to {@code NOT_HELD} from each.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>no call is made under a claim, or with a content, that is not committed
 *   <li>each call follows a commit or a confirmation of the leadership, asked for after the call
 *       before and less than a lease ago
 *   <li>a fencing token belongs to one claim; each claim has a higher one
 *   <li>a former holder claims the duty no sooner than a lease after its election, and after the
 *       end of each call that it may have made before
 *   <li>what a callback of an earlier step brings is ignored
 * </ul>
 *
 * @param <S> the replicated state of the duty
 */
final class SingletonDuty<S extends DutyState<S>> {
  /** See the transitions in the description of the class. */
  enum Phase {
    /** This node does not lead the duty's log. */
    NOT_HELD,
    /** A former holder waits until its earlier calls are older than a lease. */
    AWAITING_LEASE,
    /** The claim is being committed. */
    CLAIMING,
    /** Holds the duty; nothing is under way. */
    IDLE,
    /** New intents, or marks of finished ones, are being committed. */
    COMMITTING,
    /** A quorum is asked whether this node still leads. */
    CONFIRMING,
    /** A call was made and is not answered yet. */
    CALLING,
    /** Waits after a failure, or for the rate of calls. */
    PAUSED,
    /** The platform has seen a higher fencing token; a quorum is asked whether this node leads. */
    REREADING
  }

  private static final String PART = "duty";

  private final Environment environment;
  private final String nodeName;
  private final DutyTask<S> task;
  private final long leaseMs;
  private final Runnable transfer;
  private final DutyBackoff backoff;

  private Phase phase = Phase.NOT_HELD;

  /** Rises with each change of the phase: a callback for a lower number is ignored. */
  private long step;

  /** Null until this node has led the duty's log once. */
  private DutyLog log;

  /** As committed, except that intents may be finished here and not marked in the log yet. */
  private S state;

  /** The last state of which this node knows that it is committed. */
  private S committed;

  /**
   * Since when no call of this node is on its way: of a call that is, the end of its time limit. A
   * process that has just started may have a predecessor with such a call.
   */
  private long quietSinceMs;

  /** When the first of the finished intents that are not marked was finished. */
  private long unmarkedSinceMs;

  /** Subjects of the open calls that failed since the last success; the others come first. */
  private final Set<String> failedSubjects = new HashSet<>();

  /**
   * A duty that is not held.
   *
   * @param nodeName this node's name, under which it claims the duty
   * @param transfer hands the leadership of the duty's log to another node, if there is one
   */
  SingletonDuty(
      Environment environment,
      String nodeName,
      DutySettings settings,
      DutyTask<S> task,
      Runnable transfer) {
    this.environment = environment;
    this.nodeName = nodeName;
    this.task = task;
    this.leaseMs =
        settings.leaseMs() > 0 ? settings.leaseMs() : ReplicationConstants.LEADER_STEP_DOWN_MS;
    this.transfer = transfer;
    this.backoff = new DutyBackoff(environment, settings.callsPerS());
    this.state = task.initialState();
    this.committed = state;
    this.quietSinceMs = environment.nowMs() + DutyConstants.CALL_TIMEOUT_MS;
  }

  Phase phase() {
    return phase;
  }

  int failures() {
    return backoff.failures();
  }

  /** Takes the step that is due. */
  void tick() {
    if (phase != Phase.NOT_HELD && !log.isLed()) {
      enter(Phase.NOT_HELD);
    }
    if (phase == Phase.IDLE) {
      act();
    }
  }

  private long enter(Phase next) {
    phase = next;
    return ++step;
  }

  private boolean isCurrent(long number) {
    return number == step && log.isLed();
  }

  /** Enters the phase, and runs the task after the delay unless the phase has changed by then. */
  private void enterFor(Phase waiting, long delayMs, Runnable then) {
    long number = enter(waiting);
    environment.schedule(
        delayMs,
        () -> {
          if (isCurrent(number)) {
            then.run();
          }
        });
  }

  // ---- claiming

  /**
   * This node has become the leader of the duty's log.
   *
   * @param last the last state in the log, which is committed; null if there is none
   */
  void leadershipTaken(DutyLog newLog, S last) {
    log = newLog;
    state = last == null ? task.initialState() : last;
    committed = state;
    failedSubjects.clear();
    if (state.claim().isFormerHolder(nodeName)) {
      enterFor(Phase.AWAITING_LEASE, formerHolderWaitMs(), this::claim);
    } else {
      claim();
    }
  }

  /**
   * Until the last call that this node can have made as a holder before is a lease ago, whenever it
   * arrived at the platform.
   */
  private long formerHolderWaitMs() {
    return leaseMs + Math.max(0, quietSinceMs - environment.nowMs());
  }

  private void claim() {
    DutyClaim claim = state.claim().takenBy(nodeName);
    commit(Phase.CLAIMING, state.withClaim(claim), this::claimed);
  }

  private void claimed(long askedAtMs) {
    backoff.reset();
    DutyClaim claim = state.claim();
    environment.log(
        PART,
        "Claimed: duty="
            + task.key()
            + " fence="
            + claim.fence()
            + " previous="
            + claim.formerHolders().stream().findFirst().orElse("none")
            + " open="
            + task.openCalls(state).size()
            + ".");
    enter(Phase.IDLE);
    act();
  }

  // ---- writing down

  /** Holds the duty, and nothing is under way. */
  private void act() {
    S next = task.withNewIntents(state, environment.nowMs());
    if (!next.equals(state) || isMarkDue()) {
      commit(Phase.COMMITTING, next, this::callNext);
    } else if (!task.openCalls(state).isEmpty()) {
      confirm();
    }
  }

  private boolean isMarkDue() {
    return !state.equals(committed)
        && environment.nowMs() - unmarkedSinceMs >= DutyConstants.MARK_DELAY_MS;
  }

  /**
   * Commits a state; the callback gets the time at which this was asked for. After an error the
   * same state is appended again, as the first may still be committed.
   */
  private void commit(Phase during, S next, LongConsumer whenCommitted) {
    long number = enter(during);
    long askedAtMs = environment.nowMs();
    log.append(
        next,
        error -> {
          if (!isCurrent(number)) {
            return;
          }
          if (error == null) {
            state = next;
            committed = next;
            whenCommitted.accept(askedAtMs);
          } else {
            enterFor(
                during,
                DutyConstants.LOG_RETRY_DELAY_MS,
                () -> commit(during, next, whenCommitted));
          }
        });
  }

  // ---- calling

  private void confirm() {
    if (backoff.waitMs() > 0) {
      pause(backoff.waitMs());
      return;
    }
    long number = enter(Phase.CONFIRMING);
    long askedAtMs = environment.nowMs();
    log.confirmLeadership(
        error -> {
          if (!isCurrent(number)) {
            return;
          }
          if (error == null) {
            callNext(askedAtMs);
          } else {
            pause(DutyConstants.LOG_RETRY_DELAY_MS);
          }
        });
  }

  private void pause(long delayMs) {
    enterFor(
        Phase.PAUSED,
        delayMs,
        () -> {
          enter(Phase.IDLE);
          act();
        });
  }

  /** Makes the next call; a quorum has confirmed the leadership after the given time. */
  private void callNext(long confirmedSinceMs) {
    if (backoff.waitMs() > 0) {
      pause(backoff.waitMs());
      return;
    }
    List<PlatformCall> open = task.openCalls(state);
    if (open.isEmpty()) {
      enter(Phase.IDLE);
      return;
    }
    if (!mayCall(confirmedSinceMs)) {
      pause(DutyConstants.LOG_RETRY_DELAY_MS);
      return;
    }
    call(next(open));
  }

  /** Whether no other node can have held the duty for long, as far as this node can know. */
  private boolean mayCall(long confirmedSinceMs) {
    return log.isLed()
        && log.isInContactWithQuorum()
        && environment.nowMs() - confirmedSinceMs < leaseMs;
  }

  /**
   * The first call that has not failed since the last success, so that one that always fails does
   * not hold up the others.
   */
  private PlatformCall next(List<PlatformCall> open) {
    return open.stream()
        .filter(call -> !failedSubjects.contains(call.subject()))
        .findFirst()
        .orElseGet(
            () -> {
              failedSubjects.clear();
              return open.get(0);
            });
  }

  private void call(PlatformCall call) {
    long number = enter(Phase.CALLING);
    backoff.recordCall();
    quietSinceMs = environment.nowMs() + DutyConstants.CALL_TIMEOUT_MS;
    environment.schedule(
        DutyConstants.CALL_TIMEOUT_MS, () -> answered(number, call, PlatformCallResult.UNKNOWN));
    environment.callPlatform(call, result -> answered(number, call, result));
  }

  private void answered(long number, PlatformCall call, PlatformCallResult result) {
    if (!isCurrent(number)) {
      return;
    }
    quietSinceMs = environment.nowMs();
    backoff.recordResult(result);
    switch (result) {
      case ACCEPTED -> {
        failedSubjects.clear();
        finish(task.afterAccepted(state, call));
      }
      case REJECTED -> {
        logFailure(call, result);
        failedSubjects.add(call.subject());
        finish(task.afterRejected(state, call));
      }
      case FENCED -> reread(call);
      case THROTTLED, UNKNOWN -> failed(call, result);
    }
  }

  /** Goes on after an answer that may have finished an intent. */
  private void finish(S next) {
    if (state.equals(committed)) {
      unmarkedSinceMs = environment.nowMs();
    }
    state = next;
    enter(Phase.IDLE);
    act();
  }

  private void failed(PlatformCall call, PlatformCallResult result) {
    failedSubjects.add(call.subject());
    logFailure(call, result);
    if (backoff.isUnansweredTooLong()) {
      environment.log(PART, "The platform does not answer here: duty=" + task.key() + ".");
      backoff.restartUnanswered();
      transfer.run();
      if (!log.isLed()) {
        enter(Phase.NOT_HELD);
        return;
      }
    }
    pause(backoff.waitMs());
  }

  private void logFailure(PlatformCall call, PlatformCallResult result) {
    if (backoff.failures() % DutyConstants.LOGGED_FAILURES == 0) {
      environment.log(
          PART,
          "Calls fail: duty="
              + task.key()
              + " fence="
              + call.fence()
              + " failures="
              + backoff.failures()
              + " last="
              + result
              + " subject="
              + call.subject()
              + ".");
    }
  }

  /**
   * The platform has seen a higher fencing token. Usually another node leads by now; if a quorum
   * confirms that this one does, its token is too low and only a new claim can help.
   */
  private void reread(PlatformCall call) {
    environment.log(
        PART, "A higher fence was seen: duty=" + task.key() + " fence=" + call.fence() + ".");
    long number = enter(Phase.REREADING);
    log.confirmLeadership(error -> reread(number, error));
  }

  private void reread(long number, ApiError error) {
    if (!isCurrent(number)) {
      return;
    }
    if (error == null) {
      enterFor(Phase.PAUSED, backoff.waitMs(), this::claim);
    } else {
      enterFor(
          Phase.REREADING,
          DutyConstants.LOG_RETRY_DELAY_MS,
          () -> {
            long next = enter(Phase.REREADING);
            log.confirmLeadership(again -> reread(next, again));
          });
    }
  }
}

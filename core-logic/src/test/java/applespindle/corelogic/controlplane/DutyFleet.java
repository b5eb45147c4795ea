package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.duty.DutyState;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Nodes with one duty, the duty's replicated log, and the calls on their way to the platform. The
 * test decides when an append is committed, a confirmation arrives, or the leader changes.
 *
 * @param <S> the replicated state of the duty
 */
final class DutyFleet<S extends DutyState<S>> {
  static final long LEASE_MS = 3_000;

  /** Many calls a second, so that the rate is not what a test waits for. */
  private static final double CALLS_PER_S = 200;

  /** A call that was made and not answered yet. */
  record OpenCall(PlatformCall call, Consumer<PlatformCallResult> then) {}

  private record Pending<S>(S state, Consumer<ApiError> then) {}

  /** The log as one leadership sees it. */
  final class Leadership implements DutyLog {
    final SingletonDuty<S> duty;

    /** Whether the node still believes to lead; a deposed leader may for a while. */
    boolean believesToLead = true;

    boolean inContact = true;

    Leadership(SingletonDuty<S> duty) {
      this.duty = duty;
    }

    @Override
    public boolean isLed() {
      return believesToLead;
    }

    @Override
    public boolean isInContactWithQuorum() {
      return inContact;
    }

    @Override
    @SuppressWarnings("unchecked")
    public void append(Object state, Consumer<ApiError> then) {
      if (leader == this) {
        appends.add(new Pending<>((S) state, then));
      }
    }

    @Override
    public void confirmLeadership(Consumer<ApiError> then) {
      boolean confirmed = leader == this;
      confirmations.add(() -> then.accept(confirmed ? null : new ApiError.NotLeader("duty")));
    }
  }

  final FakeEnvironment environment =
      new FakeEnvironment(1_000_000) {
        @Override
        public void callPlatform(PlatformCall call, Consumer<PlatformCallResult> then) {
          made.add(call);
          openCalls.add(new OpenCall(call, then));
        }

        @Override
        public void log(String part, String sentence) {
          logged.add(sentence);
        }
      };

  final List<String> logged = new ArrayList<>();

  /** All calls, in the order in which nodes made them. */
  final List<PlatformCall> made = new ArrayList<>();

  final ArrayDeque<OpenCall> openCalls = new ArrayDeque<>();
  final ArrayDeque<Runnable> confirmations = new ArrayDeque<>();
  private final ArrayDeque<Pending<S>> appends = new ArrayDeque<>();
  private final Map<String, SingletonDuty<S>> duties = new HashMap<>();
  private final Function<String, DutyTask<S>> taskOf;
  private final DutySettings settings =
      new DutySettings(true, true, true, LEASE_MS, 5_000, 10_000, CALLS_PER_S);

  /** Null while nobody leads. */
  Leadership leader;

  /** Null before the first commit. */
  S committed;

  int transfers;

  DutyFleet(Function<String, DutyTask<S>> taskOf) {
    this.taskOf = taskOf;
  }

  /** A node by name; created at its first use. */
  SingletonDuty<S> duty(String node) {
    return duties.computeIfAbsent(node, this::newDuty);
  }

  private SingletonDuty<S> newDuty(String node) {
    return new SingletonDuty<>(environment, node, settings, taskOf.apply(node), () -> transfers++);
  }

  /** The node's process starts anew, and has forgotten everything. */
  void restart(String node) {
    duties.remove(node);
  }

  int pendingAppends() {
    return appends.size();
  }

  /** Commits the oldest append. */
  void commitNext() {
    Pending<S> append = appends.remove();
    committed = append.state();
    append.then().accept(null);
  }

  /** The leader gives up waiting for the oldest append; it may still be committed. */
  void failNextAppend() {
    Pending<S> append = appends.remove();
    appends.addFirst(new Pending<>(append.state(), error -> {}));
    append.then().accept(new ApiError.OutcomeUnknown("duty"));
  }

  /** Delivers the oldest confirmation. */
  void confirmNext() {
    confirmations.remove().run();
  }

  /** Commits and confirms all that is asked for. */
  void settle() {
    while (!appends.isEmpty() || !confirmations.isEmpty()) {
      if (appends.isEmpty()) {
        confirmNext();
      } else {
        commitNext();
      }
    }
  }

  /**
   * Another node becomes the leader. Of the entries that were not committed yet it has found these
   * many; the others are lost.
   */
  void elect(String node, int foundAppends) {
    for (int index = 0; index < foundAppends; index++) {
      committed = appends.remove().state();
    }
    appends.clear();
    leader = new Leadership(duty(node));
    leader.duty.leadershipTaken(leader, committed);
  }

  /** The same; the former leader knows at once. */
  void moveTo(String node) {
    if (leader != null) {
      leader.believesToLead = false;
    }
    elect(node, 0);
  }

  /** Time passes; the leader takes its steps, all appends are committed and all reads confirmed. */
  void runCalmly(long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      settle();
      environment.run(50);
      leader.duty.tick();
      settle();
    }
  }

  /** Answers the oldest call. */
  void answer(PlatformCallResult result) {
    openCalls.remove().then().accept(result);
  }
}

package applespindle.corelogic.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.replication.InvariantViolation.Invariant;
import applespindle.corelogic.replication.ModelBounds.Start;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * One run of a replicated log over the real classes: three replicas, one joining replica, two
 * candidates, the messages in flight. The run is a sequence of steps, each chosen from those that
 * are enabled; the same choices give the same run.
 */
final class ReplicatedLogModel implements StateText.Named {
  /**
   * One thing that may happen next.
   *
   * @param label the same whenever the same thing may happen
   * @param link where a message arrives from and to, or the disk that syncs; empty if the step
   *     needs a client or a failure
   */
  record Step(Supplier<String> label, String link, Runnable effect) {
    /** Whether the step needs neither a client nor a failure. */
    boolean usual() {
      return !link.isEmpty();
    }
  }

  private static final String KEY = "register";
  private static final String CONFIGURATION = "set";
  private static final long PENDING_VERSION = 2;
  private static final String JOINING_REPLICA = "r4";
  private static final List<String> CANDIDATES = List.of("a", "b");
  private static final ReplicaConfiguration FIRST =
      new ReplicaConfiguration(1, replicas("r1", "r2", "r3"), List.of());
  private static final ReplicaConfiguration PENDING =
      new ReplicaConfiguration(PENDING_VERSION, FIRST.current(), replicas("r1", "r2", "r4"));
  private static final ReplicaConfiguration CHANGED =
      new ReplicaConfiguration(3, PENDING.next(), List.of());
  private static final ReplicaConfiguration CANCELLED =
      new ReplicaConfiguration(3, FIRST.current(), List.of());

  private static final Predicate<InFlightMessage> ALL = message -> true;
  private static final Predicate<InFlightMessage> NOT_TO_FIRST =
      message -> !message.to.equals("r1");
  private static final Predicate<InFlightMessage> TO_FIRST = message -> message.to.equals("r1");

  private static List<NodeAddress> replicas(String... ids) {
    return List.of(ids).stream().map(id -> new NodeAddress(id, id)).toList();
  }

  private final ModelBounds bounds;
  private final ModelHistory history = new ModelHistory();
  private final Map<String, ModelDisk> disks = new TreeMap<>();
  private final Map<String, ModelReplica> replicas = new TreeMap<>();
  private final Map<String, ModelCandidate> candidates = new TreeMap<>();
  private final ModelInvariants invariants = new ModelInvariants(KEY, history, disks, replicas);
  private final List<InFlightMessage> inFlight = new ArrayList<>();

  /** By ordinal of the event, how often it has happened. */
  private final int[] taken = new int[ModelEvent.values().length];

  /** The configuration in force: what the control plane has committed. */
  private ReplicaConfiguration inForce = FIRST;

  /**
   * By candidate, the configuration that it knows. Kept over its crashes, as it asks for it before
   * an election.
   */
  private final Map<String, ReplicaConfiguration> known = new TreeMap<>();

  /** The lives of the joining replica that have begun to catch up. */
  private final Set<ModelReplica> startedJoining = new HashSet<>();

  ReplicatedLogModel(ModelBounds bounds) {
    this.bounds = bounds;
    for (NodeAddress replica : PENDING.allReplicas()) {
      boolean member = FIRST.current().contains(replica);
      if (member || bounds.most(ModelEvent.RECONFIGURATION) > 0) {
        disks.put(replica.id(), new ModelDisk(bounds.slowDisks(), CONFIGURATION));
        startReplica(replica.id());
      }
    }
    for (String candidate : CANDIDATES.subList(0, bounds.candidates())) {
      known.put(candidate, FIRST);
      startCandidate(candidate);
    }
    begin(bounds.start());
  }

  private void startReplica(String id) {
    ModelRuntime runtime = new ModelRuntime(id, disks.get(id), this::send);
    ModelReplica replica =
        new ModelReplica(runtime, id, CONFIGURATION, (key, entry) -> history.committed(id, entry));
    disks.get(id).synced().forEach(replica.replicas()::recover);
    replica.start();
    replicas.put(id, replica);
  }

  private void startCandidate(String id) {
    ModelRuntime runtime = new ModelRuntime(id, null, this::send);
    candidates.put(
        id,
        new ModelCandidate(
            runtime, id, KEY, bounds.snapshotValues(), () -> known.get(id), history));
  }

  private void begin(Start start) {
    if (start == Start.BLANK) {
      return;
    }
    ModelCandidate first = candidates.get(CANDIDATES.get(0));
    act(first.runtime(), first::elect);
    settle(ALL);
    act(first.runtime(), () -> first.append(value(0)));
    settle(ALL);
    switch (start) {
      case DIVERGED -> {
        appendReaching(first, -2, TO_FIRST);
        appendReaching(first, -1, TO_FIRST);
      }
      case LAGGING -> appendReaching(first, -1, NOT_TO_FIRST);
      case SUPERSEDED -> {
        ModelCandidate second = candidates.get(CANDIDATES.get(1));
        act(second.runtime(), second::elect);
        settle(message -> NOT_TO_FIRST.test(message) && !second.leads());
      }
      case CAUGHT_UP -> {
        inForce = PENDING;
        startJoining();
        settle(ALL);
        while (!replicas.get(JOINING_REPLICA).hasCaughtUp()) {
          endPauses(replicas.get(JOINING_REPLICA).runtime());
          settle(ALL);
        }
      }
      default -> {}
    }
    inFlight.removeIf(message -> replicas.containsKey(message.to));
  }

  private void appendReaching(
      ModelCandidate leader, int number, Predicate<InFlightMessage> reaching) {
    act(leader.runtime(), () -> leader.append(value(number)));
    settle(reaching);
  }

  private static void endPauses(ModelRuntime runtime) {
    List.copyOf(runtime.timers).stream()
        .filter(timer -> timer.millis <= ReplicationConstants.CATCH_UP_PAGE_DELAY_MS)
        .forEach(runtime::fire);
  }

  /** Delivers, in order, all messages of this kind and what follows from them. */
  private void settle(Predicate<InFlightMessage> arriving) {
    for (Optional<InFlightMessage> next = first(arriving);
        next.isPresent();
        next = first(arriving)) {
      inFlight.remove(next.get());
      deliver(next.get());
      disks.keySet().forEach(this::syncAll);
    }
  }

  private Optional<InFlightMessage> first(Predicate<InFlightMessage> arriving) {
    return inFlight.stream().filter(arriving).findFirst();
  }

  private void syncAll(String id) {
    while (disks.get(id).hasUnsynced()) {
      act(replicas.get(id).runtime(), disks.get(id)::syncOne);
    }
  }

  private static byte[] value(int number) {
    return ("v" + number).getBytes(UTF_8);
  }

  private static void act(ModelRuntime runtime, Runnable action) {
    action.run();
    runtime.runImmediate();
  }

  private void send(String to, Envelope envelope) {
    history.sent(envelope);
    inFlight.add(new InFlightMessage(to, envelope));
  }

  private void deliver(InFlightMessage message) {
    ModelReplica replica = replicas.get(message.to);
    ModelCandidate candidate = candidates.get(message.to);
    if (replica != null) {
      act(replica.runtime(), () -> replica.receive(message.envelope));
    } else if (candidate != null) {
      act(candidate.runtime(), () -> candidate.receive(message.envelope));
    }
  }

  // ---- steps

  /** All that may happen next, in an order that depends on the run so far only. */
  List<Step> enabled() {
    List<Step> steps = new ArrayList<>();
    addMessages(steps);
    addDisks(steps);
    addClients(steps);
    addTimers(steps);
    addCrashes(steps);
    addReconfiguration(steps);
    return steps;
  }

  private boolean left(ModelEvent event) {
    return taken[event.ordinal()] < bounds.most(event);
  }

  private Runnable counting(ModelEvent event, Runnable effect) {
    return () -> {
      taken[event.ordinal()]++;
      effect.run();
    };
  }

  private void addMessages(List<Step> steps) {
    for (InFlightMessage message : inFlight) {
      steps.add(
          new Step(
              () -> "deliver to " + message.text(),
              message.link,
              () -> {
                inFlight.remove(message);
                deliver(message);
              }));
      if (left(ModelEvent.DUPLICATE)) {
        steps.add(
            new Step(
                () -> "deliver twice to " + message.text(),
                "",
                counting(ModelEvent.DUPLICATE, () -> deliver(message))));
      }
    }
  }

  private void addDisks(List<Step> steps) {
    disks.forEach(
        (id, disk) -> {
          if (disk.hasUnsynced()) {
            steps.add(
                new Step(
                    () -> "sync at " + id,
                    id,
                    () -> act(replicas.get(id).runtime(), disk::syncOne)));
          }
        });
  }

  private void addClients(List<Step> steps) {
    candidates.forEach(
        (id, candidate) -> {
          if (candidate.idle() && left(ModelEvent.ELECTION)) {
            steps.add(step("election by " + id, ModelEvent.ELECTION, candidate, candidate::elect));
          }
          if (!candidate.leads()) {
            return;
          }
          if (left(ModelEvent.APPEND)) {
            int number = taken[ModelEvent.APPEND.ordinal()] + 1;
            steps.add(
                step(
                    "append by " + id,
                    ModelEvent.APPEND,
                    candidate,
                    () -> candidate.append(value(number))));
          }
          if (left(ModelEvent.READ)) {
            steps.add(step("read by " + id, ModelEvent.READ, candidate, candidate::read));
          }
          if (left(ModelEvent.RESIGNATION)) {
            steps.add(
                step("resignation by " + id, ModelEvent.RESIGNATION, candidate, candidate::resign));
          }
        });
  }

  private Step step(String label, ModelEvent event, ModelCandidate candidate, Runnable action) {
    return new Step(() -> label, "", counting(event, () -> act(candidate.runtime(), action)));
  }

  private void addTimers(List<Step> steps) {
    candidates.forEach((id, candidate) -> addTimers(steps, id, candidate.runtime()));
    replicas.forEach((id, replica) -> addTimers(steps, id, replica.runtime()));
    candidates.forEach(
        (id, candidate) -> {
          if (!candidate.idle() && left(ModelEvent.CLOCK_JUMP)) {
            steps.add(
                step(
                    "clock jump at " + id,
                    ModelEvent.CLOCK_JUMP,
                    candidate,
                    () -> candidate.runtime().jumpClock(ReplicationConstants.COMMIT_TIMEOUT_MS)));
          }
        });
  }

  /** A pause, as before another try, ends without being counted: something waits for it. */
  private void addTimers(List<Step> steps, String id, ModelRuntime runtime) {
    for (int index = 0; index < runtime.timers.size(); index++) {
      ModelRuntime.Timer timer = runtime.timers.get(index);
      int number = index;
      Supplier<String> label = () -> "timer " + number + " of " + timer.millis + " ms at " + id;
      if (timer.millis <= ReplicationConstants.MAX_ELECTION_BACKOFF_MS) {
        steps.add(new Step(label, id, () -> runtime.fire(timer)));
      } else if (left(ModelEvent.TIMER)) {
        steps.add(new Step(label, "", counting(ModelEvent.TIMER, () -> runtime.fire(timer))));
      }
    }
  }

  private void addCrashes(List<Step> steps) {
    if (left(ModelEvent.REPLICA_CRASH)) {
      disks.forEach(
          (id, disk) -> {
            for (int kept = 0; kept <= disk.unsyncedRecords(); kept++) {
              int records = kept;
              steps.add(
                  new Step(
                      () -> "crash of " + id + ", unsynced records kept: " + records,
                      "",
                      counting(ModelEvent.REPLICA_CRASH, () -> crashReplica(id, records))));
            }
          });
    }
    if (left(ModelEvent.CANDIDATE_CRASH)) {
      candidates.forEach(
          (id, candidate) -> {
            if (!candidate.idle()) {
              steps.add(
                  new Step(
                      () -> "crash of " + id,
                      "",
                      counting(
                          ModelEvent.CANDIDATE_CRASH,
                          () -> {
                            candidate.runtime().end();
                            startCandidate(id);
                          })));
            }
          });
    }
  }

  private void crashReplica(String id, int kept) {
    replicas.get(id).runtime().end();
    disks.get(id).crash(kept);
    invariants.replicaRestarted(id);
    startReplica(id);
  }

  private void addReconfiguration(List<Step> steps) {
    if (left(ModelEvent.RECONFIGURATION)) {
      if (inForce == FIRST) {
        steps.add(change("pending configuration in force", PENDING));
      } else if (inForce == PENDING) {
        if (replicas.get(JOINING_REPLICA).hasCaughtUp()) {
          steps.add(change("new configuration in force", CHANGED));
        }
        steps.add(change("change of configuration cancelled", CANCELLED));
      }
    }
    candidates.forEach(
        (id, candidate) -> {
          if (known.get(id).version() < inForce.version()) {
            steps.add(
                new Step(
                    () -> id + " learns configuration " + inForce.version(),
                    "",
                    () -> {
                      known.put(id, inForce);
                      act(candidate.runtime(), () -> candidate.reconfigure(inForce));
                    }));
          }
        });
    if (inForce == PENDING && !hasJoiningReplicaStarted()) {
      steps.add(
          new Step(
              () -> JOINING_REPLICA + " learns configuration " + inForce.version(),
              "",
              this::startJoining));
    }
  }

  private Step change(String label, ReplicaConfiguration replicaConfiguration) {
    return new Step(
        () -> label,
        "",
        counting(ModelEvent.RECONFIGURATION, () -> inForce = replicaConfiguration));
  }

  private boolean hasJoiningReplicaStarted() {
    return startedJoining.contains(replicas.get(JOINING_REPLICA));
  }

  private void startJoining() {
    ModelReplica joiningReplica = replicas.get(JOINING_REPLICA);
    startedJoining.add(joiningReplica);
    act(
        joiningReplica.runtime(),
        () ->
            joiningReplica.join(
                CONFIGURATION, PENDING_VERSION, FIRST.current(), () -> inForce.version()));
  }

  // ---- invariants and state

  /** Takes a step and judges the state after it. */
  void take(Step step) {
    try {
      step.effect().run();
    } catch (InvariantViolation violation) {
      throw violation;
    } catch (RuntimeException thrown) {
      throw new InvariantViolation(Invariant.NO_EXCEPTION, thrown.toString());
    }
    invariants.check(inForce);
  }

  /** A hash of all that may matter for what comes. */
  long stateHash() {
    return stateText().hash();
  }

  StateText stateText() {
    StateText text = new StateText();
    replicas.values().forEach(replica -> replica.addTo(text));
    disks.values().forEach(disk -> disk.addTo(text));
    candidates.values().forEach(candidate -> candidate.addTo(text));
    text.add(inFlight.stream().map(InFlightMessage::text).sorted().toList());
    text.add(taken)
        .add(inForce.version())
        .add(inForce.current())
        .add(isJoiningUnderPendingChange());
    known.values().forEach(replicaConfiguration -> text.add(replicaConfiguration.version()));
    return text.add(history).add(invariants.promisedBefore());
  }

  @Override
  public String stateName() {
    return "model";
  }

  private boolean isJoiningUnderPendingChange() {
    return inForce == PENDING && hasJoiningReplicaStarted();
  }
}

package applespindle.corelogic.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
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
 * One run of the replicated register over the real classes: three replicas, one newcomer, two
 * claimants, the messages in flight. The run is a sequence of steps, each chosen from those that
 * are enabled; the same choices give the same run.
 */
final class ReplicatedLogModel implements StateText.Named {
  /**
   * One thing that may happen next.
   *
   * @param label the same whenever the same thing may happen
   * @param link where a message arrives from and to, or the disk that syncs; empty if the step
   *     needs a client or trouble
   */
  record Step(Supplier<String> label, String link, Runnable effect) {
    /** Whether the step needs neither a client nor trouble. */
    boolean usual() {
      return !link.isEmpty();
    }
  }

  private static final String KEY = "register";
  private static final String SET = "set";
  private static final long PENDING_SET = 2;
  private static final String NEWCOMER = "r4";
  private static final List<String> CLAIMANTS = List.of("a", "b");
  private static final ReplicaConfiguration FIRST =
      new ReplicaConfiguration(1, replicas("r1", "r2", "r3"), List.of());
  private static final ReplicaConfiguration PENDING =
      new ReplicaConfiguration(PENDING_SET, FIRST.current(), replicas("r1", "r2", "r4"));
  private static final ReplicaConfiguration CHANGED =
      new ReplicaConfiguration(3, PENDING.next(), List.of());
  private static final ReplicaConfiguration CALLED_OFF =
      new ReplicaConfiguration(3, FIRST.current(), List.of());

  private static final Predicate<InFlight> ALL = message -> true;
  private static final Predicate<InFlight> NOT_TO_FIRST = message -> !message.to.equals("r1");
  private static final Predicate<InFlight> TO_FIRST = message -> message.to.equals("r1");

  private static List<NodeAddress> replicas(String... ids) {
    return List.of(ids).stream().map(id -> new NodeAddress(id, id)).toList();
  }

  /** A message on its way. */
  private static final class InFlight {
    final String to;
    final Envelope envelope;
    final String link;
    private String text;

    InFlight(String to, Envelope envelope) {
      this.to = to;
      this.envelope = envelope;
      this.link = envelope.fromId() + '>' + to;
    }

    /** Two messages of the same text are the same; made when asked for, as it takes long. */
    String text() {
      if (text == null) {
        text = to + " " + StateText.of(envelope);
      }
      return text;
    }
  }

  private final ModelBounds bounds;
  private final ModelHistory history = new ModelHistory();
  private final Map<String, ModelDisk> disks = new TreeMap<>();
  private final Map<String, ModelReplica> replicas = new TreeMap<>();
  private final Map<String, ModelCandidate> claimants = new TreeMap<>();
  private final Map<String, Epoch> promisedBefore = new TreeMap<>();
  private final List<InFlight> inFlight = new ArrayList<>();

  /** By ordinal of the event, how often it has happened. */
  private final int[] taken = new int[ModelEvent.values().length];

  /** The sets in force: what the control plane has committed. */
  private ReplicaConfiguration inForce = FIRST;

  /** By claimant, the sets that it knows. Kept over its crashes, as it asks before it claims. */
  private final Map<String, ReplicaConfiguration> known = new TreeMap<>();

  /** The lives of the newcomer that have begun to copy. */
  private final Set<ModelReplica> copying = new HashSet<>();

  ReplicatedLogModel(ModelBounds bounds) {
    this.bounds = bounds;
    for (NodeAddress replica : PENDING.allReplicas()) {
      boolean member = FIRST.current().contains(replica);
      if (member || bounds.most(ModelEvent.RECONFIGURATION) > 0) {
        disks.put(replica.id(), new ModelDisk(bounds.slowDisks(), SET));
        startReplica(replica.id());
      }
    }
    for (String claimant : CLAIMANTS.subList(0, bounds.claimants())) {
      known.put(claimant, FIRST);
      startClaimant(claimant);
    }
    begin(bounds.start());
  }

  private void startReplica(String id) {
    ModelRuntime runtime = new ModelRuntime(id, disks.get(id), this::send);
    ModelReplica replica =
        new ModelReplica(runtime, id, SET, (key, entry) -> history.committed(id, entry));
    disks.get(id).synced().forEach(replica.replicas()::recover);
    replica.start();
    replicas.put(id, replica);
  }

  private void startClaimant(String id) {
    ModelRuntime runtime = new ModelRuntime(id, null, this::send);
    claimants.put(
        id,
        new ModelCandidate(
            runtime, id, KEY, bounds.snapshotValues(), () -> known.get(id), history));
  }

  private void begin(Start start) {
    if (start == Start.BLANK) {
      return;
    }
    ModelCandidate first = claimants.get(CLAIMANTS.get(0));
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
        ModelCandidate second = claimants.get(CLAIMANTS.get(1));
        act(second.runtime(), second::elect);
        settle(message -> NOT_TO_FIRST.test(message) && !second.leads());
      }
      case COPIED -> {
        inForce = PENDING;
        copyIn();
        settle(ALL);
        while (!replicas.get(NEWCOMER).hasCaughtUp()) {
          endPauses(replicas.get(NEWCOMER).runtime());
          settle(ALL);
        }
      }
      default -> {}
    }
    inFlight.removeIf(message -> replicas.containsKey(message.to));
  }

  private void appendReaching(ModelCandidate leader, int number, Predicate<InFlight> reaching) {
    act(leader.runtime(), () -> leader.append(value(number)));
    settle(reaching);
  }

  private static void endPauses(ModelRuntime runtime) {
    List.copyOf(runtime.timers).stream()
        .filter(timer -> timer.millis <= ReplicationConstants.CATCH_UP_PAGE_DELAY_MS)
        .forEach(runtime::fire);
  }

  /** Delivers, in order, all messages of this kind and what follows from them. */
  private void settle(Predicate<InFlight> arriving) {
    for (Optional<InFlight> next = first(arriving); next.isPresent(); next = first(arriving)) {
      inFlight.remove(next.get());
      deliver(next.get());
      disks.keySet().forEach(this::syncAll);
    }
  }

  private Optional<InFlight> first(Predicate<InFlight> arriving) {
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
    inFlight.add(new InFlight(to, envelope));
  }

  private void deliver(InFlight message) {
    ModelReplica replica = replicas.get(message.to);
    ModelCandidate claimant = claimants.get(message.to);
    if (replica != null) {
      act(replica.runtime(), () -> replica.receive(message.envelope));
    } else if (claimant != null) {
      act(claimant.runtime(), () -> claimant.receive(message.envelope));
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
    addSetChange(steps);
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
    for (InFlight message : inFlight) {
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
    claimants.forEach(
        (id, claimant) -> {
          if (claimant.idle() && left(ModelEvent.ELECTION)) {
            steps.add(step("claim by " + id, ModelEvent.ELECTION, claimant, claimant::elect));
          }
          if (!claimant.leads()) {
            return;
          }
          if (left(ModelEvent.APPEND)) {
            int number = taken[ModelEvent.APPEND.ordinal()] + 1;
            steps.add(
                step(
                    "append by " + id,
                    ModelEvent.APPEND,
                    claimant,
                    () -> claimant.append(value(number))));
          }
          if (left(ModelEvent.READ)) {
            steps.add(step("read by " + id, ModelEvent.READ, claimant, claimant::read));
          }
          if (left(ModelEvent.RESIGNATION)) {
            steps.add(step("release by " + id, ModelEvent.RESIGNATION, claimant, claimant::resign));
          }
        });
  }

  private Step step(String label, ModelEvent event, ModelCandidate claimant, Runnable action) {
    return new Step(() -> label, "", counting(event, () -> act(claimant.runtime(), action)));
  }

  private void addTimers(List<Step> steps) {
    claimants.forEach((id, claimant) -> addTimers(steps, id, claimant.runtime()));
    replicas.forEach((id, replica) -> addTimers(steps, id, replica.runtime()));
    claimants.forEach(
        (id, claimant) -> {
          if (!claimant.idle() && left(ModelEvent.CLOCK_JUMP)) {
            steps.add(
                step(
                    "clock jump at " + id,
                    ModelEvent.CLOCK_JUMP,
                    claimant,
                    () -> claimant.runtime().jumpClock(ReplicationConstants.COMMIT_TIMEOUT_MS)));
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
      claimants.forEach(
          (id, claimant) -> {
            if (!claimant.idle()) {
              steps.add(
                  new Step(
                      () -> "crash of " + id,
                      "",
                      counting(
                          ModelEvent.CANDIDATE_CRASH,
                          () -> {
                            claimant.runtime().end();
                            startClaimant(id);
                          })));
            }
          });
    }
  }

  private void crashReplica(String id, int kept) {
    replicas.get(id).runtime().end();
    disks.get(id).crash(kept);
    promisedBefore.remove(id);
    startReplica(id);
  }

  private void addSetChange(List<Step> steps) {
    if (left(ModelEvent.RECONFIGURATION)) {
      if (inForce == FIRST) {
        steps.add(change("pending set in force", PENDING));
      } else if (inForce == PENDING) {
        if (replicas.get(NEWCOMER).hasCaughtUp()) {
          steps.add(change("new set in force", CHANGED));
        }
        steps.add(change("change of set called off", CALLED_OFF));
      }
    }
    claimants.forEach(
        (id, claimant) -> {
          if (known.get(id).version() < inForce.version()) {
            steps.add(
                new Step(
                    () -> id + " learns set " + inForce.version(),
                    "",
                    () -> {
                      known.put(id, inForce);
                      act(claimant.runtime(), () -> claimant.reconfigure(inForce));
                    }));
          }
        });
    if (inForce == PENDING && !newcomerKnows()) {
      steps.add(new Step(() -> NEWCOMER + " learns set " + inForce.version(), "", this::copyIn));
    }
  }

  private Step change(String label, ReplicaConfiguration replicaConfiguration) {
    return new Step(
        () -> label,
        "",
        counting(ModelEvent.RECONFIGURATION, () -> inForce = replicaConfiguration));
  }

  private boolean newcomerKnows() {
    return copying.contains(replicas.get(NEWCOMER));
  }

  private void copyIn() {
    ModelReplica newcomer = replicas.get(NEWCOMER);
    copying.add(newcomer);
    act(
        newcomer.runtime(),
        () -> newcomer.join(SET, PENDING_SET, FIRST.current(), () -> inForce.version()));
  }

  // ---- invariants and state

  /** Takes a step and judges the state after it. */
  void take(Step step) {
    try {
      step.effect().run();
    } catch (InvariantViolation broken) {
      throw broken;
    } catch (RuntimeException thrown) {
      throw new InvariantViolation(Invariant.NO_EXCEPTION, thrown.toString());
    }
    check();
  }

  private void check() {
    replicas.forEach(this::checkPromised);
    for (LogEntry entry : history.acknowledged().values()) {
      checkKept(entry);
    }
  }

  private void checkPromised(String id, ModelReplica replica) {
    Epoch promised = promised(replica.replicas());
    Epoch before = promisedBefore.put(id, promised);
    if (before != null && promised.isBelow(before)) {
      throw new InvariantViolation(Invariant.PROMISE_KEPT, id + " fell to " + promised);
    }
    Epoch told = history.promisedTo(id);
    if (promised.isBelow(told) || promised(disks.get(id).recoverable()).isBelow(told)) {
      throw new InvariantViolation(
          Invariant.PROMISE_KEPT, id + " has promised " + promised + " and told " + told);
    }
  }

  private static Epoch promised(LogReplicas replicas) {
    LogReplica replica = replicas.replicas().get(KEY);
    return replica == null ? Epoch.NONE : replica.promisedEpoch;
  }

  private void checkKept(LogEntry entry) {
    Set<String> holders = new HashSet<>();
    disks.forEach(
        (id, disk) -> {
          if (disk.recoverable()
              .holds(KEY, entry.sequence(), other -> ModelHistory.same(other, entry))) {
            holders.add(id);
          }
        });
    ReplicaConfiguration counted =
        new ReplicaConfiguration(inForce.version(), inForce.current(), List.of());
    if (!counted.isQuorum(holders)) {
      throw new InvariantViolation(
          Invariant.ACKNOWLEDGED_KEPT,
          ModelHistory.describe(entry) + " is recoverable at " + holders + " only");
    }
  }

  /** A hash of all that may matter for what comes. */
  long stateHash() {
    return stateText().hash();
  }

  StateText stateText() {
    StateText text = new StateText();
    replicas.values().forEach(replica -> replica.addTo(text));
    disks.values().forEach(disk -> disk.addTo(text));
    claimants.values().forEach(claimant -> claimant.addTo(text));
    text.add(inFlight.stream().map(InFlight::text).sorted().toList());
    text.add(taken).add(inForce.version()).add(inForce.current()).add(newcomerPending());
    known.values().forEach(replicaConfiguration -> text.add(replicaConfiguration.version()));
    return text.add(history).add(promisedBefore);
  }

  @Override
  public String stateName() {
    return "model";
  }

  private boolean newcomerPending() {
    return inForce == PENDING && newcomerKnows();
  }
}

package applespindle.corelogic.replication;

import applespindle.corelogic.replication.ReplicatedLogModel.Step;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Searches the runs of a model within bounds: breadth-first with hashed states, or by seeded random
 * walks. A state is reached anew by repeating the steps that led to it.
 */
final class ModelSearch {
  /** How a search ended. */
  enum End {
    /** Every state within the bounds was reached. */
    EXHAUSTED,
    /** The states or the time allowed were used up. */
    LIMIT,
    /** A state broke an invariant. */
    BROKEN
  }

  /** A broken invariant and the steps that lead to it. */
  record Counterexample(InvariantViolation violation, List<String> steps) {}

  /**
   * What a search has done.
   *
   * @param states distinct states reached
   * @param steps steps taken from one state to the next, repetitions not counted
   * @param depth the most steps from the start to a state that was reached
   */
  record Outcome(
      End end, long states, long steps, int depth, Optional<Counterexample> counterexample) {}

  static final int MIN_STATES = 100;

  private final ModelBounds bounds;
  private final long maxStates;
  private final long endsAtNanos;
  private final int threads;
  private final StateHashes seen = new StateHashes();
  private final AtomicReference<byte[]> brokenPath = new AtomicReference<>();

  /**
   * Searches until the states or the time are used up; a slow machine reaches a few states whatever
   * the time.
   */
  ModelSearch(ModelBounds bounds, long maxStates, Duration maxTime, int threads) {
    this.bounds = bounds;
    this.maxStates = maxStates;
    this.endsAtNanos = System.nanoTime() + maxTime.toNanos();
    this.threads = threads;
  }

  private boolean spent() {
    int states = seen.size();
    return states >= maxStates || states >= MIN_STATES && System.nanoTime() >= endsAtNanos;
  }

  /** Reaches every state within the bounds, those of fewer steps first. */
  Outcome breadthFirst() {
    seen.add(new ReplicatedLogModel(bounds).stateHash());
    List<byte[]> frontier = List.of(new byte[0]);
    long steps = 0;
    int depth = 0;
    while (!frontier.isEmpty()) {
      ConcurrentLinkedQueue<byte[]> next = new ConcurrentLinkedQueue<>();
      steps += expandAll(frontier, next);
      if (brokenPath.get() != null) {
        return broken(steps, brokenPath.get());
      }
      if (spent()) {
        return new Outcome(End.LIMIT, seen.size(), steps, depth, Optional.empty());
      }
      frontier = List.copyOf(next);
      depth += frontier.isEmpty() ? 0 : 1;
    }
    return new Outcome(End.EXHAUSTED, seen.size(), steps, depth, Optional.empty());
  }

  /** Expands a level's states, each thread a part of them; returns the steps taken. */
  private long expandAll(List<byte[]> frontier, ConcurrentLinkedQueue<byte[]> next) {
    long[] steps = new long[threads];
    List<Thread> workers = new ArrayList<>();
    for (int part = 0; part < threads; part++) {
      int first = part;
      Thread worker =
          new Thread(
              () -> {
                for (int index = first; index < frontier.size(); index += threads) {
                  if (spent() || brokenPath.get() != null) {
                    return;
                  }
                  steps[first] += expand(frontier.get(index), next);
                }
              });
      workers.add(worker);
      worker.start();
    }
    workers.forEach(ModelSearch::join);
    return Arrays.stream(steps).sum();
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException("the search was interrupted", interrupted);
    }
  }

  private long expand(byte[] path, ConcurrentLinkedQueue<byte[]> next) {
    ReplicatedLogModel model = repeat(path);
    List<Step> enabled = model.enabled();
    int choices = enabled.size();
    Set<String> offered = new HashSet<>();
    List<Boolean> first = enabled.stream().map(each -> offered.add(each.label().get())).toList();
    for (int choice = 0; choice < choices; choice++) {
      if (!first.get(choice)) {
        continue;
      }
      ReplicatedLogModel successor = choice == 0 ? model : repeat(path);
      byte[] longer = Arrays.copyOf(path, path.length + 1);
      longer[path.length] = (byte) choice;
      try {
        successor.take(successor.enabled().get(choice));
      } catch (InvariantViolation violation) {
        brokenPath.compareAndSet(null, longer);
        return choice + 1L;
      }
      if (seen.add(successor.stateHash())) {
        next.add(longer);
      }
    }
    return choices;
  }

  private ReplicatedLogModel repeat(byte[] path) {
    ReplicatedLogModel model = new ReplicatedLogModel(bounds);
    for (byte choice : path) {
      model.enabled().get(choice & 0xff).effect().run();
    }
    return model;
  }

  private Outcome broken(long steps, byte[] path) {
    ReplicatedLogModel model = new ReplicatedLogModel(bounds);
    List<String> labels = new ArrayList<>();
    for (byte choice : path) {
      Step step = model.enabled().get(choice & 0xff);
      labels.add(step.label().get());
      try {
        model.take(step);
      } catch (InvariantViolation violation) {
        return new Outcome(
            End.BROKEN,
            seen.size(),
            steps,
            path.length,
            Optional.of(new Counterexample(violation, labels)));
      }
    }
    throw new IllegalStateException(
        "the same choices gave another run: the model depends on more than its steps");
  }

  /** Takes random runs until the limits are reached, each from a seed of its own. */
  Outcome randomWalks(long firstSeed, int maxSteps) {
    long steps = 0;
    int depth = 0;
    for (long seed = firstSeed; !spent(); seed++) {
      byte[] path = new byte[maxSteps];
      int length = walk(new Random(seed), path);
      boolean broken = length < 0;
      steps += Math.abs(length);
      depth = Math.max(depth, Math.abs(length));
      if (broken) {
        Outcome found = broken(steps, Arrays.copyOf(path, -length));
        Counterexample shortened = shorten(found.counterexample().get());
        return new Outcome(End.BROKEN, seen.size(), steps, depth, Optional.of(shortened));
      }
    }
    return new Outcome(End.LIMIT, seen.size(), steps, depth, Optional.empty());
  }

  /** Fills in the choices taken; returns their number, negative if the last broke an invariant. */
  private int walk(Random random, byte[] path) {
    ReplicatedLogModel model = new ReplicatedLogModel(bounds);
    WalkStrategy strategy = new WalkStrategy(random);
    for (int count = 0; count < path.length; count++) {
      List<Step> enabled = model.enabled();
      if (enabled.isEmpty()) {
        return count;
      }
      int choice = strategy.choose(enabled);
      path[count] = (byte) choice;
      try {
        model.take(enabled.get(choice));
      } catch (InvariantViolation violation) {
        return -count - 1;
      }
      seen.add(model.stateHash());
    }
    return path.length;
  }

  /** Leaves out each step without which the run still breaks an invariant. */
  private Counterexample shorten(Counterexample found) {
    Counterexample shortest = found;
    for (int left = shortest.steps().size() - 1; left >= 0; left--) {
      List<String> fewer = new ArrayList<>(shortest.steps());
      if (left >= fewer.size()) {
        continue;
      }
      fewer.remove(left);
      Optional<Counterexample> again = follow(fewer);
      if (again.isPresent()) {
        shortest = again.get();
      }
    }
    return shortest;
  }

  /** Takes the steps of these labels, passing over those that aren't enabled. */
  private Optional<Counterexample> follow(List<String> labels) {
    ReplicatedLogModel model = new ReplicatedLogModel(bounds);
    List<String> taken = new ArrayList<>();
    for (String label : labels) {
      Optional<Step> step =
          model.enabled().stream().filter(each -> each.label().get().equals(label)).findFirst();
      if (step.isEmpty()) {
        continue;
      }
      taken.add(label);
      try {
        model.take(step.get());
      } catch (InvariantViolation violation) {
        return Optional.of(new Counterexample(violation, taken));
      }
    }
    return Optional.empty();
  }
}

package applespindle.testfleet.simulation;

import applespindle.corelogic.common.JsonSizeObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The processor of one simulated process: a share of a core, on which one event runs after the
 * other. An event sees and changes its node at the moment it begins; its output leaves, and the
 * next event begins, once the processor time that the event took has passed. Without a share
 * nothing takes time.
 *
 * <p>The rates are those of submitting a batch in a fresh process with the data plane's flags in
 * deploy/system.toml and an archive of its classes: seven passes of JSON over the body, one digest,
 * five frames. Measured as processor time of all threads, so with compiling and collecting, on a
 * busy machine. 60 items, a body of 104 kB, five processes: the first time 274 to 307 ms, the
 * second 50 to 66, the third 37 to 51, the fifth 30 to 43, the tenth 8 to 16, later 9 to 11. 148
 * items, a body of 258 kB, four processes: 331 to 392 ms, 64 to 69, 50 to 63, 20 to 34, 12 to 24,
 * later 15 to 18. So nearly all of a first time is code that has not run before, not bytes.
 * Converting between trees and objects and the digest are no passes of their own here; the rates
 * hold them.
 *
 * <p>Not modelled: encryption, the work of the kernel, what a process that has just started costs
 * by itself, and that live requests warm up some of the same code.
 */
public final class SimulatedProcessor {
  /**
   * Wake-up, decoding of a small message and the decision: what an event takes at the least. An
   * assumption, not measured.
   */
  static final long EVENT_NS = 100_000;

  /**
   * Documents below this, as pages of results, run in code that is busy all the time; only whole
   * batches are meant to be above it.
   */
  static final int LARGE_DOCUMENT_BYTES = 40 << 10;

  /** Loading, linking and interpreting, for each of the first passes over large documents. */
  static final long FIRST_PASS_NS = 36_000_000;

  /** How many passes over large documents are first ones: those of one batch. */
  static final int FIRST_PASSES = 7;

  static final long COLD_NS_PER_BYTE = 40;

  /** How many passes over large documents run cold: those of five batches. */
  static final int COLD_PASSES = 35;

  static final long WARM_NS_PER_BYTE = 12;

  /**
   * A frame to or from a peer, for each peer by itself. Encoding alone took one in the same
   * measurement; the other is assumed for the copy to the connection.
   */
  static final long FRAME_NS_PER_BYTE = 2;

  private final Simulation simulation;

  /** Runs a task now, or once the process wakes if it is frozen. */
  private final Consumer<Runnable> unlessFrozen;

  /** 0: nothing takes time, and no field below is used. */
  private double share;

  /** In the order of arrival; only filled while busy. */
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

  /** Output of the present event; empty unless busy. */
  private final List<Runnable> outputs = new ArrayList<>();

  private boolean busy;
  private long usedNs;
  private long totalNs;
  private int largePasses;

  /** Rises when the process dies. */
  private int incarnation;

  SimulatedProcessor(Simulation simulation, Consumer<Runnable> unlessFrozen) {
    this.simulation = simulation;
    this.unlessFrozen = unlessFrozen;
  }

  /** Fraction of a core; 0: nothing takes time. */
  public void share(double fraction) {
    share = fraction;
  }

  boolean modelled() {
    return share > 0;
  }

  /** Processor time used so far, over all incarnations of the process. */
  long totalNs() {
    return totalNs;
  }

  /** Runs an event of the process once those before it are done. */
  void run(Runnable event) {
    if (!modelled()) {
      event.run();
      return;
    }
    waiting.add(event);
    if (!busy) {
      runNext();
    }
  }

  /** Sends output of the present event once the event is done. */
  void output(Runnable leaving) {
    if (busy) {
      outputs.add(leaving);
    } else {
      leaving.run();
    }
  }

  /** The present event read or wrote a JSON document. */
  public void json(int bytes) {
    boolean large = bytes >= LARGE_DOCUMENT_BYTES;
    boolean cold = large && largePasses < COLD_PASSES;
    usedNs += bytes * (cold ? COLD_NS_PER_BYTE : WARM_NS_PER_BYTE);
    if (large && largePasses++ < FIRST_PASSES) {
      usedNs += FIRST_PASS_NS;
    }
  }

  /** The present event encoded or decoded a frame. */
  void frame(int bytes) {
    usedNs += bytes * FRAME_NS_PER_BYTE;
  }

  /** The process died: waiting events are lost, and its next incarnation begins cold. */
  void restart() {
    incarnation++;
    waiting.clear();
    outputs.clear();
    busy = false;
    largePasses = 0;
  }

  private void runNext() {
    int started = incarnation;
    busy = true;
    usedNs = EVENT_NS;
    JsonSizeObserver.observe(this::json, waiting.poll());
    totalNs += usedNs;
    long doneUs = simulation.nowUs() + (long) (usedNs / share / 1_000);
    simulation.at(doneUs, () -> unlessFrozen.accept(() -> finish(started)));
  }

  private void finish(int ofIncarnation) {
    if (incarnation != ofIncarnation) {
      return;
    }
    busy = false;
    List<Runnable> leaving = List.copyOf(outputs);
    outputs.clear();
    leaving.forEach(Runnable::run);
    if (!busy && !waiting.isEmpty()) {
      runNext();
    }
  }
}

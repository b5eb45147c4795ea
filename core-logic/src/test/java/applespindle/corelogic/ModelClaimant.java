package applespindle.corelogic;

import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyPromised;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * One life of a process that claims the register, leads it and folds its log into a view, wired as
 * a batch's leader is.
 */
final class ModelClaimant {
  private final ModelRuntime runtime;
  private final String id;
  private final String key;
  private final boolean snapshotValues;
  private final ModelHistory history;
  private final KeyClaims claims;
  private OwnedKey led;

  /** The entries folded by the leader of now, in the order of folding. */
  private final List<Entry> view = new ArrayList<>();

  ModelClaimant(
      ModelRuntime runtime,
      String id,
      String key,
      boolean snapshotValues,
      Supplier<ReplicaSets> sets,
      ModelHistory history) {
    this.runtime = runtime;
    this.id = id;
    this.key = key;
    this.snapshotValues = snapshotValues;
    this.history = history;
    BiConsumer<String, Envelope> network = runtime::send;
    claims =
        new KeyClaims(
            runtime,
            id,
            (address, toId, message) ->
                network.accept(address, new Envelope(id, id, toId, message)),
            unused -> sets.get(),
            this::lead);
  }

  ModelRuntime runtime() {
    return runtime;
  }

  boolean leads() {
    return led != null;
  }

  boolean idle() {
    return led == null && claims.claiming(key) == null;
  }

  /** Claims as one to whom the register is handed over: no replica keeps it away. */
  void claim() {
    claims.claim(key, true, outcome -> {});
  }

  private void lead(OwnedKey owned) {
    led = owned;
    view.clear();
    owned.whenLost(() -> led = null);
    List.copyOf(owned.entries()).forEach(this::fold);
  }

  private void fold(Entry entry) {
    if (!entry.isTakeover()) {
      history.folded(id, led.entries(), view, entry);
      view.add(entry);
    }
  }

  void append(byte[] value) {
    Entry entry = new Entry(led.lastSequence() + 1, led.epoch(), snapshotValues, value);
    led.append(
        snapshotValues,
        value,
        () -> fold(entry),
        fault -> {
          if (fault == null) {
            history.acknowledged(entry);
          }
        });
  }

  void read() {
    long before = history.lastSeen();
    long last =
        led.entries().stream()
            .filter(entry -> !entry.isTakeover())
            .mapToLong(Entry::sequence)
            .max()
            .orElse(0);
    led.confirm(
        fault -> {
          if (fault == null) {
            history.read(id, view, before, last);
          }
        });
  }

  /** Gives the register up, as a leader without work does. */
  void release() {
    OwnedKey former = led;
    led = null;
    former.stop();
  }

  void changeSets(ReplicaSets sets) {
    if (led != null) {
      led.changeSets(sets);
    }
    claims.changeSets();
  }

  void receive(Envelope envelope) {
    if (envelope.message() instanceof KeyPromised promised) {
      claims.promised(promised, envelope.fromId());
    } else if (envelope.message() instanceof KeyAppended appended) {
      OwnedKey receiver = led != null ? led : claims.claiming(key);
      if (receiver != null) {
        receiver.appended(appended, envelope.fromId());
      }
    }
  }

  void addTo(StateText text) {
    text.add(claims).add(led).add(view);
    runtime.addTo(text);
  }
}

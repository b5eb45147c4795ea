package applespindle.corelogic.controlplane;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.duty.DutyClaim;
import applespindle.corelogic.duty.DutyInputs;
import applespindle.corelogic.duty.DutyState;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.Environment;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Manages the key of one duty at the platform: has a leader elected for it, runs the duty while
 * this node leads it, and keeps the last committed state for the status.
 *
 * <p>Invariant: there is none in a deployment that does not ask for the duty, so that no key is
 * kept and no call is made.
 *
 * @param <S> the replicated state of the duty
 */
final class DutyManager<S extends DutyState<S>> implements KeyManager {
  private final Environment environment;
  private final LedKeys keys;
  private final DutyTask<S> task;
  private final SingletonDuty<S> duty;

  /** The last committed state that this node's replica knows. */
  private S lastCommitted;

  /** When this node first saw the last claim, in milliseconds of its clock. */
  private long claimSeenAtMs;

  DutyManager(ControlPlaneContext context, DutyTask<S> task) {
    this.environment = context.environment();
    this.keys = context.keys();
    this.task = task;
    this.lastCommitted = task.initialState();
    this.duty =
        new SingletonDuty<>(
            environment,
            context.identity().name(),
            context.settings().duties(),
            task,
            () -> keys.transfer(task.key()));
  }

  /** The managers of the duties that the deployment asks for. */
  static List<DutyManager<?>> forSettings(ControlPlaneContext context, DutyInputs inputs) {
    DutySettings settings = context.settings().duties();
    List<DutyManager<?>> managers = new ArrayList<>();
    if (settings.usage()) {
      managers.add(new DutyManager<>(context, new UsageDutyTask(inputs.usage())));
    }
    if (settings.scale()) {
      managers.add(new DutyManager<>(context, new ScaleDutyTask(inputs.scale())));
    }
    return List.copyOf(managers);
  }

  String key() {
    return task.key();
  }

  /** The last committed state that this node's replica knows; the initial one before. */
  S lastCommitted() {
    return lastCommitted;
  }

  /** Some node has to hold the duty, though no command asks for it. */
  @Override
  public void tick() {
    duty.tick();
    if (keys.get(task.key()) == null) {
      keys.electIfVacant(task.key());
    }
  }

  /** Claims the duty. */
  void leadershipTaken(LedKey ledKey) {
    S last = ledKey.hasValue() ? ledKey.as(task.stateType()) : null;
    duty.leadershipTaken(new LedKeyDutyLog(keys, ledKey), last);
  }

  /** A value was committed in the log of the key. */
  void committed(byte[] value) {
    S state = Json.read(value, task.stateType());
    if (state.claim().fence() != lastCommitted.claim().fence()) {
      claimSeenAtMs = environment.nowMs();
    }
    lastCommitted = state;
  }

  /** Adds the duty, as far as this node knows, under its key. */
  void describe(ObjectNode status) {
    DutyClaim claim = lastCommitted.claim();
    ObjectNode described = status.putObject(task.key());
    described.put("holder", claim.holder());
    described.put("fence", claim.fence());
    described.put("claimSeenMsAgo", environment.nowMs() - claimSeenAtMs);
    described.put("openIntents", task.openCalls(lastCommitted).size());
    described.put("phaseHere", duty.phase().name());
    described.put("failedCallsHere", duty.failures());
    task.describe(lastCommitted, described);
  }
}

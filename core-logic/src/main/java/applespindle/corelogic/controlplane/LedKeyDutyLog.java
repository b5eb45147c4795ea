package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import java.util.function.Consumer;

/** The log of a duty in a key that this node leads. */
final class LedKeyDutyLog implements DutyLog {
  private final LedKeys keys;
  private final LedKey ledKey;

  LedKeyDutyLog(LedKeys keys, LedKey ledKey) {
    this.keys = keys;
    this.ledKey = ledKey;
  }

  @Override
  public boolean isLed() {
    return keys.get(ledKey.key()) == ledKey;
  }

  @Override
  public boolean isInContactWithQuorum() {
    return ledKey.leader().isInContactWithQuorum();
  }

  @Override
  public void append(Object state, Consumer<ApiError> then) {
    keys.put(ledKey, state, then);
  }

  @Override
  public void confirmLeadership(Consumer<ApiError> then) {
    ledKey.confirmLeadership(then);
  }
}

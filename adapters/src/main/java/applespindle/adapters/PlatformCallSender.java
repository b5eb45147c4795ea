package applespindle.adapters;

import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.function.Consumer;

/** Makes the calls to the platform that one node at a time makes. On the HTTP thread. */
public interface PlatformCallSender {
  /** Makes a call; the callback runs exactly once, within a time that the sender bounds. */
  void send(PlatformCall call, Consumer<PlatformCallResult> then);
}

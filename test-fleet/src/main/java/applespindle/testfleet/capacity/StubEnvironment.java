package applespindle.testfleet.capacity;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The part that all measured nodes share: no logs, and reads of load that are never answered. */
abstract class StubEnvironment implements Environment {
  private final RandomGenerator random;

  StubEnvironment(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {}

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String sentence) {}
}

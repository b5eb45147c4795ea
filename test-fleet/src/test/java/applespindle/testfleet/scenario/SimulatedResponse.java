package applespindle.testfleet.scenario;

import applespindle.corelogic.api.Response;
import applespindle.testfleet.simulation.Simulation.Caller;

/** What a caller got from a simulated process, if anything. */
final class SimulatedResponse implements Caller<Response> {
  Response response;
  boolean broken;

  @Override
  public void answered(Response told) {
    response = told;
  }

  @Override
  public void broken(boolean neverReached) {
    broken = true;
  }
}

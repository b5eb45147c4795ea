package applespindle.controlplane;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.Program;
import applespindle.corelogic.controlplane.ControlPlaneNode;

/**
 * Starts a process of the control plane. A fleet usually runs one in each zone; the processes form
 * the quorum that keeps the fleet's metadata.
 */
public final class ControlPlane {
  /** Starts the process; the arguments are those of every program of the fleet. */
  public static void main(String[] arguments) {
    Program.run(
        "control-plane",
        "core",
        arguments,
        startup ->
            (environment, identity) ->
                new ControlPlaneNode(environment, identity, startup.keys(), startup.coreFounders()),
        ControlPlane::open);
  }

  private static void open(NodeProcess process) {
    HttpInterface http = new HttpInterface(process);
    new ControlPlaneHttpInterface((ControlPlaneNode) process.node()).addTo(http);
    http.listen();
  }

  private ControlPlane() {}
}

package applespindle.controlplane;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.Program;
import applespindle.corelogic.controlplane.ControlPlaneNode;

/** The control plane's program: one process in each zone. */
public final class ControlPlane {
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

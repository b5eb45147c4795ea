package applespindle.dataplane;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.Program;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.storage.StorageNode;

/** The data plane's program, in the role its startup names. */
public final class DataPlane {
  /**
   * Starts an edge or a storage node, see {@link Program}; the arguments are its startup options.
   */
  public static void main(String[] arguments) {
    Program.run(
        "data-plane",
        null,
        arguments,
        startup ->
            (environment, identity) ->
                startup.role().equals("storage")
                    ? new StorageNode(environment, identity)
                    : new EdgeNode(environment, identity),
        DataPlane::open);
  }

  private static void open(NodeProcess process) {
    HttpInterface http = new HttpInterface(process);
    Node node = process.node();
    if (node instanceof EdgeNode edge) {
      new EdgeHttpInterface(process, edge).addTo(http);
    }
    http.listen();
  }

  private DataPlane() {}
}

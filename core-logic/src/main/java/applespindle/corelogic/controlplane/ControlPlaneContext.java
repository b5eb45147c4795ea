package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import java.util.function.BooleanSupplier;

/**
 * The parts of a control plane process that its managers share.
 *
 * @param settings the settings that the process started with
 * @param table the committed values known here
 * @param keys the keys that this node leads
 * @param running false once the process is stopping or terminated
 */
record ControlPlaneContext(
    Environment environment,
    NodeIdentity identity,
    NodeSettings settings,
    MetadataTable table,
    QuorumView quorum,
    LedKeys keys,
    TraceLog traceLog,
    UpdateAcknowledgements updateAcknowledgements,
    CommandResponder responder,
    CommandSender commands,
    BooleanSupplier running) {}

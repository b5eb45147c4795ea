package applespindle.corelogic.membership;

import java.util.List;

/** The leadership of keys on this node, as far as heartbeats report and refresh it. */
public interface KeyLeadership {
  /** The keys whose leader on this node is in contact with a majority of the key's replicas. */
  List<String> keysInContactWithQuorum();

  /** Notes that messages pass in both directions between this node and that of the replica. */
  void noteContact(String replicaId);
}

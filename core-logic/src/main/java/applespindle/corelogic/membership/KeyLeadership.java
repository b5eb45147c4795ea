package applespindle.corelogic.membership;

import java.util.List;

/** What heartbeats say and need to know of the keys that this node leads. */
public interface KeyLeadership {
  /** The keys whose leader here is in contact with a majority; others may claim the rest. */
  List<String> keysInContactWithQuorum();

  /** A replica's process showed that it hears this one. */
  void noteContact(String replicaId);
}

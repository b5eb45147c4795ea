package applespindle.corelogic.controlplane;

/**
 * Manages one kind of key of the control plane: runs the commands on keys of that kind, and takes
 * the steps that time makes due for those that this node leads.
 */
interface KeyManager {
  /**
   * Takes the steps that are due. Called at each heartbeat interval while this process is a member
   * of the quorum and is not stopping; it does nothing for keys that this node does not lead,
   * except that it may start an election for a key that has no leader.
   */
  void tick();
}

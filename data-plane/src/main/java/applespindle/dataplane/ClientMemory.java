package applespindle.dataplane;

import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.memory.MemoryHolder;

/**
 * The accounts of what an endpoint holds for clients of proxied requests.
 *
 * @param smallBodies bodies of small requests, which don't wait behind large ones
 * @param largeBodies bodies of the other requests, until they have ended
 * @param submissions batches in the form in which they are sent to the leader, until the response
 * @param itemBodies bodies of items that clients have asked for and not read yet
 * @param resultPages pages of results that clients have asked for, until they are answered
 * @param responses what clients have not read yet of streams to them
 */
record ClientMemory(
    HolderAccount smallBodies,
    HolderAccount largeBodies,
    HolderAccount submissions,
    HolderAccount itemBodies,
    HolderAccount resultPages,
    HolderAccount responses) {
  /** The accounts in the memory of a process. */
  static ClientMemory of(MemoryAccount memory) {
    return new ClientMemory(
        memory.open(MemoryHolder.SMALL_BODIES),
        memory.open(MemoryHolder.LARGE_BODIES),
        memory.open(MemoryHolder.FORWARDED_SUBMISSIONS),
        memory.open(MemoryHolder.ITEM_BODIES),
        memory.open(MemoryHolder.RESULT_PAGES),
        memory.open(MemoryHolder.RESPONSES));
  }
}

package applespindle.corelogic.common;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Rendezvous hashing (highest random weight): all processes derive the same order of nodes for a
 * key without communication, and adding or removing a node leaves the order of the others as it is.
 * The hash functions (FNV-1a with the MurmurHash3 finalizer) must not change, as processes of
 * different versions have to agree. Stateless.
 */
public final class RendezvousHashing {
  /** Returns the nodes in their order for the key; independent of the order of the argument. */
  public static List<String> order(String key, Collection<String> nodes) {
    return weighted(key, nodes).sorted(HEAVIEST_FIRST).map(Weighted::node).toList();
  }

  /** Returns the first node in the order for the key, or null if there are no nodes. */
  public static String first(String key, Collection<String> nodes) {
    return weighted(key, nodes).min(HEAVIEST_FIRST).map(Weighted::node).orElse(null);
  }

  private record Weighted(String node, long weight) {}

  private static final Comparator<Weighted> HEAVIEST_FIRST =
      Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::node);

  private static Stream<Weighted> weighted(String key, Collection<String> nodes) {
    long keyHash = hash(key);
    return nodes.stream().map(node -> new Weighted(node, mix(keyHash ^ mix(hash(node)))));
  }

  /** Returns a 64-bit hash of the text; not suitable for cryptography. */
  public static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (byte one : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (one & 0xff)) * 0x100000001b3L;
    }
    return mix(hash);
  }

  /** Distributes each bit of the value over the whole result; a bijection. */
  public static long mix(long value) {
    value = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    value = (value ^ (value >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return value ^ (value >>> 33);
  }

  private RendezvousHashing() {}
}

package applespindle.corelogic.worker;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * This edge's model of the prefix cache of one worker: the prompt prefixes that the edge has sent
 * there and that the worker is likely to hold still.
 *
 * <p>A prompt part is reusable only after the same parts before it, so an entry's key is the hash
 * of a prompt's parts up to and including one. The least recently used entries are evicted first.
 * Confined to the logic thread.
 */
public final class PrefixCache {
  /** By hash of a prefix: tokens of the prefix's last part, in order of use. */
  private final LinkedHashMap<Long, Integer> tokensByPrefixHash =
      new LinkedHashMap<>(16, 0.75f, true);

  /** Sum of the entries' tokens. */
  private long tokens;

  /** The hash of each prefix of a prompt, from its first part alone to the complete prompt. */
  public static long[] prefixHashes(List<PromptPart> prompt, String model) {
    long[] hashes = new long[prompt.size()];
    long hash = RendezvousHashing.hash(model);
    for (int index = 0; index < hashes.length; index++) {
      hash = RendezvousHashing.mix(hash ^ RendezvousHashing.hash(prompt.get(index).id()) + index);
      hashes[index] = hash;
    }
    return hashes;
  }

  /** Tokens of the longest prefix of the prompt that is cached. */
  int cachedTokens(List<PromptPart> prompt, long[] prefixHashes) {
    int cached = 0;
    for (int index = 0;
        index < prefixHashes.length && tokensByPrefixHash.containsKey(prefixHashes[index]);
        index++) {
      cached += prompt.get(index).tokens();
    }
    return cached;
  }

  /**
   * Adds all prefixes of a prompt and evicts what exceeds the limits.
   *
   * @param maxTokens size of the worker's cache in tokens; 0 if unknown
   */
  public void add(List<PromptPart> prompt, long[] prefixHashes, long maxTokens) {
    for (int index = 0; index < prefixHashes.length; index++) {
      int partTokens = prompt.get(index).tokens();
      Integer previousTokens = tokensByPrefixHash.put(prefixHashes[index], partTokens);
      tokens += partTokens - (previousTokens == null ? 0 : previousTokens);
    }
    evict(maxTokens);
  }

  private void evict(long maxTokens) {
    var leastRecentlyUsed = tokensByPrefixHash.entrySet().iterator();
    while (leastRecentlyUsed.hasNext() && exceedsLimits(maxTokens)) {
      Map.Entry<Long, Integer> entry = leastRecentlyUsed.next();
      tokens -= entry.getValue();
      leastRecentlyUsed.remove();
    }
  }

  private boolean exceedsLimits(long maxTokens) {
    return tokensByPrefixHash.size() > WorkerConstants.MAX_PREFIX_CACHE_PARTS
        || maxTokens > 0 && tokens > maxTokens;
  }
}

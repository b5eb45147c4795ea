package applespindle.corelogic.worker;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one worker may still keep of prompts this edge has sent there. A part counts only behind the
 * same parts before it, so it is remembered by the hash of all parts up to it. Those unused longest
 * are forgotten first.
 */
public final class PrefixCache {
  private final LinkedHashMap<Long, Integer> tokensByChain = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /** Hash of the first parts of a prompt, each behind those before it. */
  public static long[] prefixHashes(List<PromptPart> prompt, String model) {
    long[] chain = new long[prompt.size()];
    long hash = RendezvousHashing.hash(model);
    for (int index = 0; index < chain.length; index++) {
      hash = RendezvousHashing.mix(hash ^ RendezvousHashing.hash(prompt.get(index).id()) + index);
      chain[index] = hash;
    }
    return chain;
  }

  /** Tokens at the prompt's beginning that need no reading. */
  int cachedTokens(List<PromptPart> prompt, long[] chain) {
    int kept = 0;
    for (int index = 0; index < chain.length && tokensByChain.containsKey(chain[index]); index++) {
      kept += prompt.get(index).tokens();
    }
    return kept;
  }

  public void add(List<PromptPart> prompt, long[] chain, long tokensMost) {
    for (int index = 0; index < chain.length; index++) {
      Integer before = tokensByChain.put(chain[index], prompt.get(index).tokens());
      tokens += prompt.get(index).tokens() - (before == null ? 0 : before);
    }
    var oldest = tokensByChain.entrySet().iterator();
    while (oldest.hasNext()
        && (tokensByChain.size() > WorkerConstants.MAX_PREFIX_CACHE_PARTS
            || tokensMost > 0 && tokens > tokensMost)) {
      Map.Entry<Long, Integer> part = oldest.next();
      tokens -= part.getValue();
      oldest.remove();
    }
  }
}

package applespindle.testfleet.simulation;

import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import java.util.LinkedHashMap;
import java.util.List;

/** The prompt parts that a worker has in its cache; the least recently used goes first. */
final class PromptCache {
  private final long maxTokens;
  private final LinkedHashMap<String, Integer> tokensOfPart = new LinkedHashMap<>(16, 0.75f, true);
  private long cachedTokens;

  PromptCache(long maxTokens) {
    this.maxTokens = maxTokens;
  }

  /**
   * Puts a prompt into the cache. Gives the number of tokens in the leading parts that were cached
   * before.
   */
  int put(List<PromptPart> prompt) {
    int hitTokens = 0;
    boolean prefixCached = true;
    for (PromptPart part : prompt) {
      prefixCached &= tokensOfPart.containsKey(part.id());
      hitTokens += prefixCached ? part.tokens() : 0;
      if (tokensOfPart.put(part.id(), part.tokens()) == null) {
        cachedTokens += part.tokens();
      }
    }
    while (cachedTokens > maxTokens) {
      String eldest = tokensOfPart.keySet().iterator().next();
      cachedTokens -= tokensOfPart.remove(eldest);
    }
    return hitTokens;
  }
}

package applespindle.testfleet.capacity;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** When each configuration arrived first at each node. */
final class ConfigurationArrivals<N> {
  private static final String CONFIGURATION_KEY = "bundle";

  private final Map<Integer, Long> numbersByHash = new HashMap<>();
  private final Map<Long, Map<N, Long>> arrivedAt = new HashMap<>();

  /** Records the configurations of an update that a node applied. */
  void record(N node, ChangeFeedUpdate update, long now) {
    for (MetadataRecord metadataRecord : update.records()) {
      if (metadataRecord.key().equals(CONFIGURATION_KEY)) {
        arrivedAt
            .computeIfAbsent(number(metadataRecord.value()), unseen -> new HashMap<>())
            .putIfAbsent(node, now);
      }
    }
  }

  /** By node, when a configuration arrived there. */
  Map<N, Long> of(long number) {
    return arrivedAt.getOrDefault(number, Map.of());
  }

  private long number(byte[] value) {
    return numbersByHash.computeIfAbsent(
        Arrays.hashCode(value), unseen -> Json.read(value, SignedConfiguration.class).number());
  }
}

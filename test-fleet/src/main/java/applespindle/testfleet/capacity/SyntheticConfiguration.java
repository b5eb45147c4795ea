package applespindle.testfleet.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Configurations of any size, for measurements. */
final class SyntheticConfiguration {
  private SyntheticConfiguration() {}

  /** The first configuration, with one rule beside the default one. */
  static byte[] minimal() {
    return of(1, 1, 0);
  }

  /** A configuration with one rule for each tenant and the given number of rules beside. */
  static byte[] of(long number, int rules, int tenants) {
    StringBuilder text =
        new StringBuilder(
            "{\"number\":"
                + number
                + ",\"pools\":{\"main\":{\"prefixBlockChars\":64,\"prefixBlocks\":4,\"loadFactor\":1.5}},\"rules\":[");
    for (int index = 0; index < rules; index++) {
      text.append("{\"name\":\"rule-")
          .append(index)
          .append("\",\"match\":{\"headers\":{\"Host\":\"host-")
          .append(index)
          .append(
              ".example\"}},\"way\":{\"pool\":\"main\",\"trafficClass\":\"note\",\"expiryMs\":10000,\"retries\":2}},");
    }
    for (int index = 0; index < tenants; index++) {
      text.append("{\"name\":\"tenant-")
          .append(index)
          .append("\",\"match\":{\"sender\":\"tenant-")
          .append(index)
          .append(
              "\"},\"way\":{\"pool\":\"main\",\"trafficClass\":\"note\",\"expiryMs\":10000,\"retries\":2}},");
    }
    return text.append(
            "{\"name\":\"rest\",\"way\":{\"pool\":\"main\",\"trafficClass\":\"note\",\"expiryMs\":10000,\"retries\":2}}],"
                + "\"limits\":{\"classes\":{\"note\":{\"rank\":1,\"queueMost\":1000}},\"batch\":{\"pool\":\"main\","
                + "\"waitingItemsMost\":100000000,\"perWorkerMost\":8,\"liveReserve\":0,\"cancelForLive\":false,"
                + "\"itemExpiryMs\":30000,\"retentionMs\":86400000}}}")
        .toString()
        .getBytes(UTF_8);
  }
}

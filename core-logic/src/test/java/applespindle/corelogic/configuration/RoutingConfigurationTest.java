package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RoutingConfigurationTest {
  private static final String GOOD =
      """
      {"number": 3,
       "pools": {"main": {"prefixBlockChars": 64, "prefixBlocks": 4, "loadFactor": 1.5},
                 "big": {"prefixBlockChars": 64, "prefixBlocks": 4, "loadFactor": 1.5}},
       "rules": [{"name": "long", "when": "promptChars > 100 && sender.startsWith('a')",
                  "way": {"pool": "big", "trafficClass": "note", "expiryMs": 1000, "retries": 0}},
                 {"name": "rest", "match": {"headers": {"X-Kind": "short"}},
                  "way": {"pool": "main", "trafficClass": "note", "expiryMs": 1000, "retries": 0}}],
       "limits": {"classes": {"note": {"rank": 0, "queueMost": 5}},
                  "batch": {"pool": "main", "waitingItemsMost": 10, "perWorkerMost": 2, "liveReserve": 1,
                            "cancelForLive": true, "itemExpiryMs": 1000}}}
      """;

  private static final String QUEUE_LIMIT = "$.limits.classes.note.queueMost";

  private static ConfigurationValidator.ValidationResult check(String text) {
    return ConfigurationValidator.validate(text.getBytes(UTF_8));
  }

  private static void rejects(String text, String... paths) {
    ApiError error = check(text).error();
    assertThat(error).isInstanceOf(ApiError.InvalidConfiguration.class);
    assertThat(((ApiError.InvalidConfiguration) error).fields().stream().map(ApiError.Field::path))
        .containsExactlyElementsIn(List.of(paths));
  }

  @Test
  void rulesRunInOrder() {
    CompiledRules rules = CompiledRules.compile(check(GOOD).configuration());
    var longOne = new CompiledRules.Subject(null, "authority", "", Map.of(), 101);
    var shortOne = new CompiledRules.Subject(null, "authority", "", Map.of("x-kind", "short"), 100);
    var neither = new CompiledRules.Subject(null, "other", "", Map.of(), 101);
    assertThat(rules.run(longOne).pool()).isEqualTo("big");
    assertThat(rules.run(shortOne).pool()).isEqualTo("main");
    assertThat(rules.run(neither)).isNull();
  }

  @Test
  void namesEveryFaultAtOnce() {
    rejects("{", "$");
    rejects(
        GOOD.replace("\"number\": 3", "\"number\": 0, \"more\": 1")
            .replace("\"retries\": 0}},", "\"retries\": \"x\"}},"),
        "$.more",
        "$.number",
        "$.rules[0].way.retries");
    rejects(GOOD.replace("\"pool\": \"big\"", "\"pool\": \"none\""), "$.rules[0].way.pool");
  }

  @Test
  void reportsFieldsUnderTheirJsonNames() {
    rejects(GOOD.replace("\"queueMost\": 5", "\"queueMost\": \"x\""), QUEUE_LIMIT);
    rejects(
        GOOD.replace("\"queueMost\": 5", "\"queueMost\": -1")
            .replace("\"waitingItemsMost\": 10", "\"waitingItemsMost\": -1")
            .replace("\"expiryMs\": 1000, \"retries\": 0}},", "\"expiryMs\": 0, \"retries\": 0}},"),
        "$.limits.batch.waitingItemsMost",
        "$.limits.classes[note].queueMost",
        "$.rules[0].way.expiryMs");
    rejects(
        GOOD.replace("\"waitingItemsMost\"", "\"maxQueuedItems\""),
        "$.limits.batch.maxQueuedItems",
        "$.limits.batch.waitingItemsMost");
  }

  @Test
  void namesThePositionOfAFaultyExpression() {
    ApiError error = check(GOOD.replace("promptChars > 100", "promptChars > 'x'")).error();
    ApiError.Field field = ((ApiError.InvalidConfiguration) error).fields().get(0);
    assertThat(field.path()).isEqualTo("$.rules[0].when");
    assertThat(field.reason()).startsWith("line 1, column 13: ");
    assertThat(check(GOOD.replace("promptChars > 100", "[1].exists(x, x > 0)")).error().type())
        .isEqualTo("InvalidBundle");
  }

  @Test
  void anUnknownSignerAndAWrongSignatureAreRefusedBeforeAnythingIsRead() {
    byte[] bytes = "not json".getBytes(UTF_8);
    assertThat(
            ConfigurationValidator.validate(bytes, "nobody", new byte[64], Map.of()).error().type())
        .isEqualTo("SignatureRefused");
  }
}

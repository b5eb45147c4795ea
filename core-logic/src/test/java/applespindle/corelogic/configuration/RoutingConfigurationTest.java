package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Validation of a configuration, and the rules that are compiled from it. */
class RoutingConfigurationTest {
  private static final String VALID =
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

  private static ConfigurationValidator.ValidationResult validate(String text) {
    return ConfigurationValidator.validate(text.getBytes(UTF_8));
  }

  private static void assertRejects(String text, String... paths) {
    ApiError error = validate(text).error();
    assertThat(error).isInstanceOf(ApiError.InvalidConfiguration.class);
    assertThat(((ApiError.InvalidConfiguration) error).fields().stream().map(ApiError.Field::path))
        .containsExactlyElementsIn(List.of(paths));
  }

  @Test
  void appliesTheFirstRuleThatMatches() {
    CompiledRules rules = CompiledRules.compile(validate(VALID).configuration());
    var longPrompt = new CompiledRules.Subject(null, "authority", "", Map.of(), 101);
    var shortPrompt =
        new CompiledRules.Subject(null, "authority", "", Map.of("x-kind", "short"), 100);
    var unmatched = new CompiledRules.Subject(null, "other", "", Map.of(), 101);
    assertThat(rules.run(longPrompt).pool()).isEqualTo("big");
    assertThat(rules.run(shortPrompt).pool()).isEqualTo("main");
    assertThat(rules.run(unmatched)).isNull();
  }

  @Test
  void reportsEveryInvalidFieldAtOnce() {
    assertRejects("{", "$");
    assertRejects(
        VALID
            .replace("\"number\": 3", "\"number\": 0, \"more\": 1")
            .replace("\"retries\": 0}},", "\"retries\": \"x\"}},"),
        "$.more",
        "$.number",
        "$.rules[0].way.retries");
    assertRejects(VALID.replace("\"pool\": \"big\"", "\"pool\": \"none\""), "$.rules[0].way.pool");
  }

  @Test
  void reportsFieldsUnderTheirJsonNames() {
    assertRejects(
        VALID.replace("\"queueMost\": 5", "\"queueMost\": \"x\""),
        "$.limits.classes.note.queueMost");
    assertRejects(
        VALID
            .replace("\"queueMost\": 5", "\"queueMost\": -1")
            .replace("\"waitingItemsMost\": 10", "\"waitingItemsMost\": -1")
            .replace("\"expiryMs\": 1000, \"retries\": 0}},", "\"expiryMs\": 0, \"retries\": 0}},"),
        "$.limits.batch.waitingItemsMost",
        "$.limits.classes[note].queueMost",
        "$.rules[0].way.expiryMs");
    assertRejects(
        VALID.replace("\"waitingItemsMost\"", "\"maxQueuedItems\""),
        "$.limits.batch.maxQueuedItems",
        "$.limits.batch.waitingItemsMost");
  }

  @Test
  void reportsThePositionOfAnErrorInACondition() {
    ApiError error = validate(VALID.replace("promptChars > 100", "promptChars > 'x'")).error();
    ApiError.Field field = ((ApiError.InvalidConfiguration) error).fields().get(0);
    assertThat(field.path()).isEqualTo("$.rules[0].when");
    assertThat(field.reason()).startsWith("line 1, column 13: ");
    assertThat(validate(VALID.replace("promptChars > 100", "[1].exists(x, x > 0)")).error().type())
        .isEqualTo("InvalidBundle");
  }

  @Test
  void rejectsAnUnknownSignerBeforeParsing() {
    byte[] bytes = "not json".getBytes(UTF_8);
    assertThat(
            ConfigurationValidator.validate(bytes, "nobody", new byte[64], Map.of()).error().type())
        .isEqualTo("SignatureRefused");
  }
}

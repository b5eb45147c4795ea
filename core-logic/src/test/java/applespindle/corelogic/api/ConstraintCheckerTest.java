package applespindle.corelogic.api;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationValidator;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.controlplane.ConfigurationManager;
import applespindle.corelogic.metadata.AcceptedRevisions;
import applespindle.corelogic.metadata.SignedConfiguration;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** {@link ConstraintChecker} passes only what the Bean Validation provider passes. */
class ConstraintCheckerTest {
  private static final int ROUTES = 513;

  static RoutingConfiguration configuration(int routes, String origin) {
    return new RoutingConfiguration(
        3,
        Map.of("main", new RoutingConfiguration.Pool(64, 4, 1.5, 8, 590, 357_257L)),
        List.of(),
        new RoutingConfiguration.Limits(
            Map.of("live", new RoutingConfiguration.ClassLimit(0, 0)),
            new RoutingConfiguration.BatchLimits("main", 0, 0, 0, true, 30_000, null)),
        IntStream.range(0, routes).mapToObj(ConstraintCheckerTest::route).toList(),
        new RoutingConfiguration.ClientLimits(16_384, 4_194_304, 3_000, 15_000),
        origin);
  }

  private static RoutingConfiguration.Route route(int index) {
    return new RoutingConfiguration.Route(
        "route-" + index,
        "host-" + index + ".example",
        "/path/",
        RoutingConfiguration.RouteType.STREAM,
        2_000,
        317,
        150,
        1,
        0,
        true,
        false,
        List.of(new RoutingConfiguration.PoolWeight("main", 1)),
        0,
        0,
        0);
  }

  @Test
  void passesAValidConfiguration() {
    assertThat(ConstraintChecker.passes(configuration(ROUTES, "text"))).isTrue();
    assertThat(
            ConfigurationValidator.validate(Json.bytes(configuration(ROUTES, "text")))
                .configuration())
        .isEqualTo(configuration(ROUTES, "text"));
  }

  @Test
  void fallsBackToTheProviderForEachViolation() {
    Map<String, Object> violations =
        Map.ofEntries(
            Map.entry("/number", 0),
            Map.entry("/pools", Map.of()),
            Map.entry("/pools/main/prefixBlockChars", 15),
            Map.entry("/pools/main/prefixBlocks", 65),
            Map.entry("/pools/main/loadFactor", 0.5),
            Map.entry("/pools/main/slots", -1),
            Map.entry("/routes/1/name", " "),
            Map.entry("/routes/1/host", ""),
            Map.entry("/routes/1/pathPrefix", "path"),
            Map.entry("/routes/1/timeoutMs", 0),
            Map.entry("/routes/1/attempts", 101),
            Map.entry("/routes/1/split", List.of()),
            Map.entry("/routes/1/split/0/weight", 1_000_001),
            Map.entry("/limits/classes", Map.of()),
            Map.entry("/limits/batch/itemExpiryMs", 0),
            Map.entry("/clients/headBytesMost", -1));
    violations.forEach(
        (path, value) -> {
          ObjectNode tree = (ObjectNode) Json.tree(Json.bytes(configuration(2, null)));
          int at = path.lastIndexOf('/');
          var parent = tree.at(path.substring(0, at));
          ((ObjectNode) parent).set(path.substring(at + 1), Json.JSON.valueToTree(value));
          RoutingConfiguration read = Json.read(Json.bytes(tree), RoutingConfiguration.class);
          assertWithMessage(path).that(ConstraintChecker.passes(read)).isFalse();
          assertWithMessage(path)
              .that(ConfigurationValidator.validate(Json.bytes(read)).error())
              .isInstanceOf(ApiError.InvalidConfiguration.class);
        });
  }

  @Test
  void rejectsANullElement() {
    ObjectNode tree = (ObjectNode) Json.tree(Json.bytes(configuration(2, null)));
    tree.withArray("routes").setNull(1);
    assertThat(ConstraintChecker.passes(Json.read(Json.bytes(tree), RoutingConfiguration.class)))
        .isFalse();
  }

  @Test
  void comparesOtherEncodingsFieldByField() {
    String text = new String(Json.bytes(configuration(2, null)), UTF_8);
    for (String otherEncoding :
        List.of(
            text.replaceFirst("\"number\":3", "\"number\":3.0"),
            text.replaceFirst("\"attempts\":1,", ""),
            text.replaceFirst("\"sticky\":true", "\"sticky\":null"),
            text.replaceFirst("\\{", "{\"more\":1,"))) {
      assertWithMessage(otherEncoding)
          .that(ConfigurationValidator.validate(otherEncoding.getBytes(UTF_8)).error())
          .isInstanceOf(ApiError.InvalidConfiguration.class);
    }
  }

  /** The origin of an unsigned configuration is as long as the rest, and no edge needs it. */
  @Test
  void theFeedOmitsTheOriginOfAnUnsignedConfiguration() {
    String origin = "x".repeat(150_000);
    byte[] event =
        Json.bytes(
            new SignedConfiguration(
                3,
                Json.bytes(configuration(ROUTES, origin)),
                "",
                new byte[0],
                2L,
                AcceptedRevisions.NONE.with(2, new byte[] {1})));
    byte[] distributed = ConfigurationManager.forFeed(event);
    assertThat(distributed.length).isLessThan(event.length / 2 + 8_000);
    SignedConfiguration read = Json.read(distributed, SignedConfiguration.class);
    assertThat(read.number()).isEqualTo(3);
    assertThat(read.accepted()).isNull();
    assertThat(ConfigurationValidator.readCommitted(read.bytes()).configuration())
        .isEqualTo(configuration(ROUTES, null));
  }

  @Test
  void theFeedDoesNotModifyASignedConfiguration() {
    byte[] bytes = Json.bytes(configuration(2, "text"));
    byte[] event = Json.bytes(new SignedConfiguration(3, bytes, "operator", new byte[64]));
    assertThat(Json.read(ConfigurationManager.forFeed(event), SignedConfiguration.class).bytes())
        .isEqualTo(bytes);
  }
}

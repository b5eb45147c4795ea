package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The quick way to a checked bundle says yes only where the validator does. */
class ConstraintCheckTest {
  private static final int ROUTES = 513;

  static Bundle bundle(int routes, String origin) {
    return new Bundle(
        3,
        Map.of("main", new Bundle.Pool(64, 4, 1.5, 8, 590, 357_257L)),
        List.of(),
        new Bundle.Limits(
            Map.of("live", new Bundle.ClassLimit(0, 0)),
            new Bundle.BatchLimits("main", 0, 0, 0, true, 30_000, null)),
        IntStream.range(0, routes).mapToObj(ConstraintCheckTest::route).toList(),
        new Bundle.ClientLimits(16_384, 4_194_304, 3_000, 15_000),
        origin);
  }

  private static Bundle.Route route(int index) {
    return new Bundle.Route(
        "route-" + index,
        "host-" + index + ".example",
        "/path/",
        Bundle.RouteType.STREAM,
        2_000,
        317,
        150,
        1,
        0,
        true,
        false,
        List.of(new Bundle.Share("main", 1)),
        0,
        0,
        0);
  }

  @Test
  void passesWhatTheValidatorPasses() {
    assertThat(ConstraintCheck.passes(bundle(ROUTES, "text"))).isTrue();
    assertThat(Bundle.check(Json.bytes(bundle(ROUTES, "text"))).bundle())
        .isEqualTo(bundle(ROUTES, "text"));
  }

  @Test
  void eachBrokenConstraintIsLeftToTheValidatorAndNamed() {
    Map<String, Object> broken =
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
    broken.forEach(
        (path, value) -> {
          ObjectNode tree = (ObjectNode) Json.tree(Json.bytes(bundle(2, null)));
          int at = path.lastIndexOf('/');
          var parent = tree.at(path.substring(0, at));
          ((ObjectNode) parent).set(path.substring(at + 1), Json.JSON.valueToTree(value));
          Bundle read = Json.read(Json.bytes(tree), Bundle.class);
          assertWithMessage(path).that(ConstraintCheck.passes(read)).isFalse();
          assertWithMessage(path)
              .that(Bundle.check(Json.bytes(read)).fault())
              .isInstanceOf(Fault.InvalidBundle.class);
        });
  }

  @Test
  void aNullInAListIsNoGoodElement() {
    ObjectNode tree = (ObjectNode) Json.tree(Json.bytes(bundle(2, null)));
    tree.withArray("routes").setNull(1);
    assertThat(ConstraintCheck.passes(Json.read(Json.bytes(tree), Bundle.class))).isFalse();
  }

  @Test
  void whatThisProgramWouldNotWriteIsReadFieldByField() {
    String text = new String(Json.bytes(bundle(2, null)), UTF_8);
    for (String faulty :
        List.of(
            text.replaceFirst("\"number\":3", "\"number\":3.0"),
            text.replaceFirst("\"attempts\":1,", ""),
            text.replaceFirst("\"sticky\":true", "\"sticky\":null"),
            text.replaceFirst("\\{", "{\"more\":1,"))) {
      assertWithMessage(faulty)
          .that(Bundle.check(faulty.getBytes(UTF_8)).fault())
          .isInstanceOf(Fault.InvalidBundle.class);
    }
  }

  /** The text that an unsigned bundle was made from is as long as the bundle; no edge needs it. */
  @Test
  void theFeedCarriesAnUnsignedBundleWithoutItsText() {
    String origin = "x".repeat(150_000);
    byte[] event =
        Json.bytes(
            new Records.SignedBundle(
                3,
                Json.bytes(bundle(ROUTES, origin)),
                "",
                new byte[0],
                2L,
                AcceptedRevisions.startingWith(2, new byte[1])));
    byte[] told = BundleDuty.forFeed(event);
    assertThat(told.length).isLessThan(event.length / 2 + 8_000);
    Records.SignedBundle read = Json.read(told, Records.SignedBundle.class);
    assertThat(read.number()).isEqualTo(3);
    assertThat(read.accepted()).isNull();
    assertThat(Bundle.kept(read.bytes()).bundle()).isEqualTo(bundle(ROUTES, null));
  }

  @Test
  void aSignedBundleStaysAsItWasSigned() {
    byte[] bytes = Json.bytes(bundle(2, "text"));
    byte[] event = Json.bytes(new Records.SignedBundle(3, bytes, "operator", new byte[64]));
    assertThat(Json.read(BundleDuty.forFeed(event), Records.SignedBundle.class).bytes())
        .isEqualTo(bytes);
  }
}

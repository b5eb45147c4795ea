package applespindle.corelogic.membership;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The JSON of heartbeats is read by processes of other versions: names and order are fixed. */
class HeartbeatBodyTest {
  private static final QuorumMember MEMBER = new QuorumMember("id-1", "peer:1", "http:1", "z", "n");
  private static final String MEMBER_JSON =
      "{\"id\":\"id-1\",\"peerAddress\":\"peer:1\",\"httpAddress\":\"http:1\","
          + "\"zone\":\"z\",\"name\":\"n\"}";
  private static final QuorumMembership MEMBERSHIP =
      new QuorumMembership(1, List.of(MEMBER), List.of());
  private static final String MEMBERSHIP_JSON =
      "{\"number\":1,\"members\":[" + MEMBER_JSON + "],\"next\":[]}";

  private static String json(HeartbeatBody body) {
    return new String(Json.bytes(body), UTF_8);
  }

  private static HeartbeatBody read(String json) {
    return Json.read(json.getBytes(UTF_8), HeartbeatBody.class);
  }

  @Test
  void writesAProposalAndItsAcceptanceBeforeTheMembershipIsFormed() {
    HeartbeatBody body =
        new HeartbeatBody(
            MEMBER, true, false, true, MEMBERSHIP, false, List.of("id-2"), 0, List.of(), null);
    String expected =
        "{\"member\":"
            + MEMBER_JSON
            + ",\"blank\":true,\"candidate\":false,\"voter\":true,\"proposal\":"
            + MEMBERSHIP_JSON
            + ",\"accepted\":false,\"heard\":[\"id-2\"],\"number\":0,\"owns\":[]}";
    assertThat(json(body)).isEqualTo(expected);
    assertThat(read(expected)).isEqualTo(body);
  }

  @Test
  void writesTheMembershipLast() {
    HeartbeatBody body =
        new HeartbeatBody(
            MEMBER, false, true, true, null, null, List.of(), 1, List.of("edges"), null);
    String start =
        "{\"member\":"
            + MEMBER_JSON
            + ",\"blank\":false,\"candidate\":true,\"voter\":true,"
            + "\"heard\":[],\"number\":1,\"owns\":[\"edges\"]";
    assertThat(json(body)).isEqualTo(start + "}");
    assertThat(json(body.withMembership(MEMBERSHIP)))
        .isEqualTo(start + ",\"roster\":" + MEMBERSHIP_JSON + "}");
  }

  @Test
  void readsMissingFieldsAsAbsentAndIgnoresUnknownOnes() {
    HeartbeatBody body = read("{\"member\":" + MEMBER_JSON + ",\"later\":{\"version\":2}}");
    assertThat(body)
        .isEqualTo(
            new HeartbeatBody(
                MEMBER, false, false, false, null, null, List.of(), 0, List.of(), null));
  }
}

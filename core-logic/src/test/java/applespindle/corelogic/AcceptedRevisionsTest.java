package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.AcceptedRevisions.Standing;
import applespindle.corelogic.Records.SignedBundle;
import org.junit.jupiter.api.Test;

class AcceptedRevisionsTest {
  private static byte[] content(long number) {
    return ("{\"configuration\":" + number + "}").getBytes(UTF_8);
  }

  private static AcceptedRevisions accepted(int changes) {
    AcceptedRevisions accepted = AcceptedRevisions.NONE;
    for (int change = 1; change <= changes; change++) {
      accepted = accepted.with(2L * change, content(2L * change));
    }
    return accepted;
  }

  @Test
  void tellsWhatWasAcceptedFromWhatWasNot() {
    AcceptedRevisions accepted = accepted(3);
    assertThat(accepted.standing(4, content(4))).isEqualTo(Standing.ACCEPTED);
    assertThat(accepted.standing(4, content(5))).isEqualTo(Standing.NEVER_ACCEPTED);
    assertThat(accepted.standing(5, content(5))).isEqualTo(Standing.NEVER_ACCEPTED);
    assertThat(accepted.standing(8, content(8))).isEqualTo(Standing.NEVER_ACCEPTED);
  }

  @Test
  void whileAllIsRememberedNothingIsForgotten() {
    AcceptedRevisions accepted = accepted(Constants.REVISIONS_REMEMBERED);
    assertThat(accepted.standing(2, content(2))).isEqualTo(Standing.ACCEPTED);
    assertThat(accepted.standing(1, content(1))).isEqualTo(Standing.NEVER_ACCEPTED);
  }

  @Test
  void whatIsOlderThanTheMemoryIsForgottenAndNothingElse() {
    AcceptedRevisions accepted = accepted(Constants.REVISIONS_REMEMBERED + 3);
    assertThat(accepted.standing(2, content(2))).isEqualTo(Standing.FORGOTTEN);
    assertThat(accepted.standing(5, content(5))).isEqualTo(Standing.FORGOTTEN);
    assertThat(accepted.standing(6, content(6))).isEqualTo(Standing.FORGOTTEN);
    assertThat(accepted.standing(7, content(7))).isEqualTo(Standing.NEVER_ACCEPTED);
    assertThat(accepted.standing(8, content(8))).isEqualTo(Standing.ACCEPTED);
  }

  @Test
  void itsSizeIsBounded() {
    int full = accepted(Constants.REVISIONS_REMEMBERED).packed().length;
    assertThat(full).isEqualTo(16 * Constants.REVISIONS_REMEMBERED);
    assertThat(accepted(5 * Constants.REVISIONS_REMEMBERED).packed()).hasLength(full);
  }

  @Test
  void afterAWriterWithoutThisMemoryOnlyTheLastIsKnown() {
    AcceptedRevisions accepted = AcceptedRevisions.startingWith(10, content(10));
    assertThat(accepted.standing(10, content(10))).isEqualTo(Standing.ACCEPTED);
    assertThat(accepted.standing(10, content(11))).isEqualTo(Standing.NEVER_ACCEPTED);
    assertThat(accepted.standing(9, content(9))).isEqualTo(Standing.FORGOTTEN);
  }

  @Test
  void isKeptWithItsBundleAndStrippedForTheFeed() {
    SignedBundle kept = new SignedBundle(4, content(4), "", new byte[0], 2L, accepted(2));
    byte[] event = Json.bytes(kept);
    assertThat(Json.read(event, SignedBundle.class).accepted().standing(2, content(2)))
        .isEqualTo(Standing.ACCEPTED);
    SignedBundle fed = Json.read(BundleDuty.forFeed(event), SignedBundle.class);
    assertThat(fed.accepted()).isNull();
    assertThat(fed.bytes()).isEqualTo(content(4));
  }
}

package applespindle.corelogic.metadata;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.ConfigurationConstants;
import applespindle.corelogic.controlplane.ConfigurationManager;
import applespindle.corelogic.metadata.AcceptedRevisions.RevisionStatus;
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
  void distinguishesAcceptedFromNeverAcceptedRevisions() {
    AcceptedRevisions accepted = accepted(3);
    assertThat(accepted.statusOf(4, content(4))).isEqualTo(RevisionStatus.ACCEPTED);
    assertThat(accepted.statusOf(4, content(5))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
    assertThat(accepted.statusOf(5, content(5))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
    assertThat(accepted.statusOf(8, content(8))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
  }

  @Test
  void forgetsNothingBeforeItIsFull() {
    AcceptedRevisions accepted = accepted(ConfigurationConstants.MAX_REMEMBERED_REVISIONS);
    assertThat(accepted.statusOf(2, content(2))).isEqualTo(RevisionStatus.ACCEPTED);
    assertThat(accepted.statusOf(1, content(1))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
  }

  @Test
  void forgetsOnlyRevisionsOlderThanTheOldestRemembered() {
    AcceptedRevisions accepted = accepted(ConfigurationConstants.MAX_REMEMBERED_REVISIONS + 3);
    assertThat(accepted.statusOf(2, content(2))).isEqualTo(RevisionStatus.FORGOTTEN);
    assertThat(accepted.statusOf(5, content(5))).isEqualTo(RevisionStatus.FORGOTTEN);
    assertThat(accepted.statusOf(6, content(6))).isEqualTo(RevisionStatus.FORGOTTEN);
    assertThat(accepted.statusOf(7, content(7))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
    assertThat(accepted.statusOf(8, content(8))).isEqualTo(RevisionStatus.ACCEPTED);
  }

  @Test
  void sizeIsBounded() {
    int full = accepted(ConfigurationConstants.MAX_REMEMBERED_REVISIONS).packed().length;
    assertThat(full).isEqualTo(16 * ConfigurationConstants.MAX_REMEMBERED_REVISIONS);
    assertThat(accepted(5 * ConfigurationConstants.MAX_REMEMBERED_REVISIONS).packed())
        .hasLength(full);
  }

  @Test
  void startsWithTheCurrentRevisionIfNoMemoryWasStored() {
    AcceptedRevisions accepted = AcceptedRevisions.startingWith(10, content(10));
    assertThat(accepted.statusOf(10, content(10))).isEqualTo(RevisionStatus.ACCEPTED);
    assertThat(accepted.statusOf(10, content(11))).isEqualTo(RevisionStatus.NEVER_ACCEPTED);
    assertThat(accepted.statusOf(9, content(9))).isEqualTo(RevisionStatus.FORGOTTEN);
  }

  @Test
  void isStoredWithTheConfigurationButLeftOutOfTheFeed() {
    SignedConfiguration kept =
        new SignedConfiguration(4, content(4), "", new byte[0], 2L, accepted(2));
    byte[] stored = Json.bytes(kept);
    assertThat(Json.read(stored, SignedConfiguration.class).accepted().statusOf(2, content(2)))
        .isEqualTo(RevisionStatus.ACCEPTED);
    SignedConfiguration fed =
        Json.read(ConfigurationManager.forFeed(stored), SignedConfiguration.class);
    assertThat(fed.accepted()).isNull();
    assertThat(fed.bytes()).isEqualTo(content(4));
  }
}

package applespindle.corelogic.changefeed;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeFeedTest {
  private final ChangeFeed feed = new ChangeFeed();

  private static MetadataRecord item(String key, long sequence) {
    return new MetadataRecord(key, sequence, new byte[0]);
  }

  @Test
  void givesEachChangedKeyOnceInItsNewestValue() {
    MetadataRecord newest = item("one", 3);
    MetadataRecord other = item("other", 1);
    feed.add(item("one", 1));
    feed.add(item("one", 2));
    feed.add(other);
    feed.add(newest);
    assertThat(feed.position()).isEqualTo(4);
    assertThat(feed.after(0)).containsExactly(other, newest).inOrder();
    assertThat(feed.after(3)).containsExactly(newest);
    assertThat(feed.after(4)).isEmpty();
  }

  @Test
  void doesNotGrowWithTheNumberOfChanges() {
    for (int change = 1; change <= 10_000; change++) {
      feed.add(item("key-" + change % 3, change));
    }
    assertThat(feed.position()).isEqualTo(10_000);
    assertThat(feed.after(0)).hasSize(3);
    assertThat(feed.after(9_999)).isEqualTo(List.of(feed.after(0).get(2)));
  }
}

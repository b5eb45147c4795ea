package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.metadata.StorageNodeState;
import org.junit.jupiter.api.Test;

/** What is known of the storage nodes, and the JSON that operators get. */
final class StorageNodeDirectoryTest {
  private final ShardMetadataFixture fixture = new ShardMetadataFixture();

  @Test
  void describesADrainedNode() throws Exception {
    fixture.registerLive("a");
    fixture.mark("a", StorageNodeState.DRAINING);
    assertThat(JSON.writeValueAsString(fixture.directory.summaries()))
        .isEqualTo(
            "[{\"id\":\"a\",\"name\":\"name-a\",\"zone\":\"zone-a\",\"live\":true,"
                + "\"shards\":0,\"state\":\"emptied\"}]");
  }

  @Test
  void describesADrainingNode() {
    fixture.registerLive("a");
    fixture.assign("a");
    fixture.mark("a", StorageNodeState.DRAINING);
    assertThat(fixture.directory.summaries().get(0).state()).isEqualTo("emptying");
  }

  @Test
  void countsUnreachableNodesWithReplicasAsActive() {
    fixture.registerLive("a", "b", "c");
    fixture.assign("a", "b", "c");
    fixture.end("c");
    assertThat(fixture.directory.activeBesides("a")).isEqualTo(2);
    fixture.mark("b", StorageNodeState.DRAINING);
    assertThat(fixture.directory.activeBesides("a")).isEqualTo(1);
  }

  @Test
  void findsNodesByNameOrId() {
    fixture.register("old", "zone-a", "address-a", true);
    fixture.register("old", "zone-a", "address-a", false);
    fixture.registerLive("b");
    assertThat(fixture.directory.findId("name-b").orElseThrow()).isEqualTo("b");
    assertThat(fixture.directory.findId("old").orElseThrow()).isEqualTo("old");
    assertThat(fixture.directory.findId("unknown").isPresent()).isFalse();
  }
}

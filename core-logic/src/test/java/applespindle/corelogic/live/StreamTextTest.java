package applespindle.corelogic.live;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import org.junit.jupiter.api.Test;

final class StreamTextTest {
  private final StreamText text = new StreamText();

  private void add(String id, String bytes) {
    text.add(new ResponseChunk(id, bytes.getBytes(UTF_8)));
  }

  @Test
  void joinsTheDataOfAllEventsWithLineFeeds() {
    add("1", "id: 1\ndata: Dear\n\n");
    add("2", "id: 2\ndata:guest,\ndata:  come\n\n");
    add("3", "data\nid: 3\r\n\r\n");
    assertThat(text.text()).isEqualTo("Dear\nguest,\n come\n");
    assertThat(text.resumeAfter()).isEqualTo("3");
  }

  @Test
  void ignoresOtherFieldsCommentsAndOtherLines() {
    add("1", "some-versions: 4\nevent: x\n: data: no\nid: 1\ndata: a\nretry: 3\n\n");
    add("2", "id: 2\n\n");
    add("3", "id: 3\ndata: b\n\n");
    assertThat(text.text()).isEqualTo("a\nb");
    assertThat(text.resumeAfter()).isEqualTo("3");
  }

  @Test
  void holdsEachEventOnce() {
    add("9", "id: 9\ndata: a\n\n");
    add("9", "id: 9\ndata: a\n\n");
    add("8", "id: 8\ndata: z\n\n");
    add("10", "id: 10\ndata: b\n\n");
    assertThat(text.text()).isEqualTo("a\nb");
  }

  @Test
  void isNotResumableAfterAnEventWithoutAnId() {
    add("1", "id: 1\ndata: a\n\n");
    add("", "data: b\n\n");
    assertThat(text.text()).isEqualTo("a\nb");
    assertThat(text.resumeAfter()).isEmpty();
  }

  @Test
  void resumesFromAnEarlierText() {
    StreamText later = new StreamText("2", "a\nb");
    later.add(new ResponseChunk("2", "id: 2\ndata: b\n\n".getBytes(UTF_8)));
    later.add(new ResponseChunk("3", "id: 3\ndata: c\n\n".getBytes(UTF_8)));
    assertThat(later.text()).isEqualTo("a\nb\nc");
  }

  @Test
  void startsEmptyWithoutAnEarlierText() {
    StreamText anew = new StreamText("", "");
    anew.add(new ResponseChunk("1", "id: 1\ndata: a\n\n".getBytes(UTF_8)));
    assertThat(anew.text()).isEqualTo("a");
  }

  @Test
  void emptyDataCountsAsAnEvent() {
    add("1", "id: 1\ndata:\n\n");
    add("2", "id: 2\ndata: b\n\n");
    assertThat(text.text()).isEqualTo("\nb");
  }
}

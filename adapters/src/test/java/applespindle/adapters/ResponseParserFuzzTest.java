package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What holds for the parser of responses whatever bytes come and however they are split. */
final class ResponseParserFuzzTest {
  private enum End {
    /** One complete response. */
    COMPLETE,

    /** One complete response and bytes behind it. */
    SURPLUS,

    /** All bytes could be read, and more are due. */
    INCOMPLETE,
    GARBAGE
  }

  private record Outcome(End end, int status, List<Header> headers, String body) {}

  /** Reads one response, as the client of workers does. */
  private static final class Reading implements ResponseParser.Listener {
    private final ResponseParser parser = new ResponseParser(this);
    private final StringBuilder body = new StringBuilder();
    private int status;
    private List<Header> headers = List.of();
    private boolean ended;

    @Override
    public boolean head(int status, List<Header> headers) {
      assertThat(this.status).isEqualTo(0);
      this.status = status;
      this.headers = headers;
      return true;
    }

    @Override
    public boolean body(byte[] bytes, int offset, int size) {
      assertThat(ended).isFalse();
      body.append(new String(bytes, offset, size, ISO_8859_1));
      return true;
    }

    @Override
    public boolean end() {
      assertThat(ended).isFalse();
      ended = true;
      return true;
    }

    private Outcome outcome(End end) {
      return new Outcome(end, status, headers, body.toString());
    }

    Outcome read(List<String> parts) {
      parser.expect("POST");
      for (String part : parts) {
        if (part.isEmpty()) {
          continue;
        }
        if (ended) {
          return outcome(End.SURPLUS);
        }
        byte[] bytes = part.getBytes(ISO_8859_1);
        if (!parser.take(bytes, 0, bytes.length)) {
          return outcome(End.GARBAGE);
        }
        if (ended && parser.hasSurplus()) {
          return outcome(End.SURPLUS);
        }
      }
      return outcome(ended ? End.COMPLETE : End.INCOMPLETE);
    }
  }

  private static Outcome read(List<String> parts) {
    return new Reading().read(parts);
  }

  @Provide
  Arbitrary<String> texts() {
    return ResponseTexts.texts();
  }

  @Provide
  Arbitrary<String> responses() {
    return ResponseTexts.responses();
  }

  @Provide
  Arbitrary<List<Integer>> splits() {
    return ResponseTexts.splits();
  }

  @Property(seed = "1")
  void anySplitGivesTheSameParse(
      @ForAll("texts") String text, @ForAll("splits") List<Integer> places) {
    Outcome complete = read(List.of(text));
    assertThat(read(SpoiledTexts.split(text, places))).isEqualTo(complete);
    assertThat(read(text.chars().mapToObj(Character::toString).toList())).isEqualTo(complete);
  }

  @Property(seed = "2")
  void whatIsReadAsCompleteIsSoByASecondParser(@ForAll("texts") String text) {
    Outcome outcome = read(List.of(text));
    if (outcome.end() == End.COMPLETE || outcome.end() == End.SURPLUS) {
      Optional<ReferenceResponse> reference = ReferenceResponse.parse(text);
      assertWithMessage("a complete response by the second reading").that(reference).isPresent();
      assertThat(reference.get().status()).isEqualTo(outcome.status());
      assertThat(reference.get().body()).isEqualTo(outcome.body());
      assertThat(reference.get().length() < text.length()).isEqualTo(outcome.end() == End.SURPLUS);
    }
  }

  @Property(seed = "3")
  void aTruncatedResponseNeverEnds(
      @ForAll("responses") String text, @ForAll("splits") List<Integer> places) {
    if (read(List.of(text)).end() != End.COMPLETE) {
      return;
    }
    for (int place : places) {
      int size = (int) ((long) (text.length() - 1) * place / 1_000);
      assertThat(read(List.of(text.substring(0, size))).end()).isEqualTo(End.INCOMPLETE);
    }
  }

  /** Sizes beyond the limit are no response, whether they come at once or byte by byte. */
  @Example
  void headsAndLinesHaveALimit() {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: ";
    int room = WorkerConnectionConstants.MAX_HEAD_BYTES - head.length() - 4;
    String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    String longLine = "1;" + "a".repeat(WorkerConnectionConstants.MAX_HEAD_BYTES) + "\r\n";
    String trailers = "0\r\n" + ("T: " + "a".repeat(1_000) + "\r\n").repeat(70) + "\r\n";
    assertThat(read(List.of(head + "a".repeat(room) + "\r\n\r\n")).end()).isEqualTo(End.COMPLETE);
    for (String text :
        List.of(head + "a".repeat(room + 1) + "\r\n\r\n", chunked + longLine, chunked + trailers)) {
      assertThat(read(List.of(text)).end()).isEqualTo(End.GARBAGE);
      assertThat(read(SpoiledTexts.split(text, List.of(100, 300, 500, 700, 999))).end())
          .isEqualTo(End.GARBAGE);
    }
  }
}

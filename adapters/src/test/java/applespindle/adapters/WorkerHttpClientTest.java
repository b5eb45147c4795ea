package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The client against workers played on plain sockets, which say exactly the bytes a test wants. */
final class WorkerHttpClientTest {
  private static final long LIMIT_S = 20;

  /**
   * A format in the style of the real ones: an id echoed, a mark for "not run", a stamp on what is
   * good.
   */
  private static final WorkerProtocol FORMAT =
      new WorkerProtocol() {
        @Override
        public List<Header> requestHeaders(WorkerExchange exchange) {
          List<Header> headers = new ArrayList<>(exchange.request().headers());
          headers.add(new Header("Host", exchange.request().host()));
          headers.add(new Header("X-Id", exchange.request().id()));
          return headers;
        }

        @Override
        public Attribution attribute(WorkerExchange exchange, UnaryOperator<String> headers) {
          String id = headers.apply("x-id");
          if (id == null && headers.apply("X-Not-Run") != null) {
            return Attribution.UNNAMED_REFUSAL;
          }
          return exchange.request().id().equals(id)
              ? Attribution.THIS_REQUEST
              : Attribution.ANOTHER_REQUEST;
        }

        @Override
        public boolean saysNotRun(int status, UnaryOperator<String> headers) {
          return headers.apply("X-Not-Run") != null;
        }

        @Override
        public boolean isComplete(int status, UnaryOperator<String> headers) {
          return headers.apply("X-Stamp") != null;
        }

        @Override
        public WorkerLoad load(UnaryOperator<String> headers) {
          String load = headers.apply("X-Load");
          return load == null ? null : new WorkerLoad(Integer.parseInt(load), 0, 8, false);
        }
      };

  private final Eventloop eventloop = Eventloop.create();
  private final WorkerHttpClient client = new WorkerHttpClient(eventloop, FORMAT, Runnable::run);
  private ServerSocket worker;
  private Thread loop;

  @BeforeEach
  void start() throws IOException {
    worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    worker.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
    eventloop.keepAlive(true);
    loop = new Thread(eventloop);
    loop.start();
  }

  @AfterEach
  void stop() throws IOException {
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
    worker.close();
  }

  private static ProxiedRequest request(String id) {
    return request(id, new Header("X-Own", "1"));
  }

  private static ProxiedRequest request(String id, Header... headers) {
    return new ProxiedRequest(
        id,
        "POST",
        "/a/b?c=%20d",
        "client.example",
        List.of(headers),
        "body".getBytes(ISO_8859_1),
        1_000,
        "",
        0,
        0,
        List.of(),
        "");
  }

  private RecordingExchangeListener send(ProxiedRequest request) {
    RecordingExchangeListener listener = new RecordingExchangeListener();
    begin(request, listener);
    return listener;
  }

  private WorkerHttpExchange begin(ProxiedRequest request, RecordingExchangeListener listener) {
    var call =
        new WorkerExchange("127.0.0.1:" + worker.getLocalPort(), "w1", request, 0, 1_000, "");
    WorkerHttpExchange exchange = client.prepare(call, listener);
    eventloop.execute(exchange::start);
    return exchange;
  }

  private Socket accept() throws IOException {
    Socket socket = worker.accept();
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
    return socket;
  }

  /** Reads one complete request of the shape that request() makes; null at the connection's end. */
  private static String read(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    InputStream in = socket.getInputStream();
    while (text.indexOf("\r\n\r\nbody") < 0) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      text.append((char) next);
    }
    return text.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static String response(String id, String headers, String body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Stamp: s\r\n" + headers + "\r\n" + body;
  }

  private static String plain(String id, String body) {
    return response(
        id, "Content-Length: " + body.length() + "\r\nKeep-Alive: timeout=30\r\n", body);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String events(String id, String... chunks) {
    return response(
        id,
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        String.join("", chunks));
  }

  private List<String> answered(String response) throws Exception {
    RecordingExchangeListener listener = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, response);
    }
    return listener.toTheEnd();
  }

  @Test
  void sendsTheRequestAsItIsAndReturnsTheCompleteResponse() throws Exception {
    RecordingExchangeListener listener = send(request("1"));
    try (Socket socket = accept()) {
      assertThat(read(socket))
          .isEqualTo(
              "POST /a/b?c=%20d HTTP/1.1\r\nX-Own: 1\r\nHost: client.example\r\nX-Id: 1\r\n"
                  + "Content-Length: 4\r\n\r\nbody");
      write(
          socket,
          response(
              "1", "X-Load: 3\r\nContent-Length: 5\r\nConnection: X-Hop\r\nX-Hop: 1\r\n", "whole"));
      assertThat(listener.toTheEnd())
          .containsExactly("load 3", "head 200 [X-Id, X-Stamp, X-Load]", "chunk |whole", "end")
          .inOrder();
    }
  }

  @Test
  void keepsTheConnectionForTheNextRequest() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, plain("1", "a"));
      first.toTheEnd();
      RecordingExchangeListener second = send(request("2"));
      assertThat(read(socket)).contains("X-Id: 2");
      write(socket, plain("2", "b"));
      assertThat(second.toTheEnd()).contains("chunk |b");
    }
  }

  private void assertANewConnectionIsMadeAfter(String response) throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, response);
      first.toTheEnd();
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
      RecordingExchangeListener second = send(request("2"));
      try (Socket next = accept()) {
        read(next);
        write(next, plain("2", "b"));
        assertThat(second.toTheEnd()).contains("chunk |b");
      }
    }
  }

  @Test
  void leavesAConnectionThatSaysClose() throws Exception {
    assertANewConnectionIsMadeAfter(
        response("1", "Content-Length: 1\r\nConnection: close\r\n", "a"));
  }

  @Test
  void leavesAConnectionWithBytesBehindACompleteResponse() throws Exception {
    assertANewConnectionIsMadeAfter(plain("1", "a") + plain("late", "b"));
    assertANewConnectionIsMadeAfter(plain("1", "a") + "junk");
  }

  @Test
  void leavesAConnectionOnWhichBytesComeWhileItIsIdle() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, plain("1", "a"));
      first.toTheEnd();
      write(socket, plain("late", "b"));
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void skipsALateResponseInThePlaceOfItsOwn() throws Exception {
    for (boolean atOnce : new boolean[] {true, false}) {
      RecordingExchangeListener first = send(request("1"));
      try (Socket socket = accept()) {
        read(socket);
        write(socket, plain("1", "a"));
        first.toTheEnd();
        RecordingExchangeListener second = send(request("2"));
        read(socket);
        if (atOnce) {
          write(socket, plain("1", "a") + plain("2", "b"));
        } else {
          write(socket, plain("1", "late"));
          write(socket, plain("2", "b"));
        }
        assertThat(second.toTheEnd())
            .containsExactly("head 200 [X-Id, X-Stamp]", "chunk |b", "end")
            .inOrder();
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }
  }

  @Test
  void skipsOneLateResponseAndNoMore() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, plain("1", "a"));
      first.toTheEnd();
      RecordingExchangeListener second = send(request("2"));
      read(socket);
      write(socket, plain("0", "a") + plain("1", "a"));
      assertThat(second.toTheEnd()).containsExactly("WorkerGarbage true");
    }
  }

  @Test
  void noticesThatTheWorkerClosedAnIdleConnection() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    Socket socket = accept();
    read(socket);
    write(socket, plain("1", "a"));
    first.toTheEnd();
    socket.close();
    RecordingExchangeListener second = send(request("2"));
    try (Socket next = accept()) {
      assertThat(read(next)).contains("X-Id: 2");
      write(next, plain("2", "b"));
      assertThat(second.toTheEnd()).contains("chunk |b");
    }
  }

  @Test
  void closesAnIdleConnectionWhoseTimeTheWorkerDidNotTell() throws Exception {
    assertANewConnectionIsMadeAfter(response("1", "Content-Length: 1\r\n", "a"));
  }

  @Test
  void saysThatNothingWasSentWhenTheConnectionIsRefused() throws Exception {
    worker.close();
    assertThat(send(request("1")).toTheEnd()).containsExactly("WorkerUnreachable false");
  }

  @Test
  void trustsAWorkerThatStatesItHasNotRunAndKeepsTheConnection() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(
          socket,
          "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX-Load: 9\r\nKeep-Alive: timeout=30\r\n"
              + "Content-Length: 4\r\n\r\nfull");
      assertThat(first.toTheEnd()).containsExactly("load 9", "WorkerRefused false").inOrder();
      RecordingExchangeListener second = send(request("2"));
      assertThat(read(socket)).contains("X-Id: 2");
      write(socket, plain("2", "b"));
      assertThat(second.toTheEnd()).contains("end");
    }
  }

  @Test
  void takesAnUnnamedRefusalOnlyOnAConnectionWithoutEarlierResponses() throws Exception {
    String unnamed = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    assertThat(answered(unnamed)).containsExactly("WorkerRefused false");
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, plain("1", "a"));
      first.toTheEnd();
      RecordingExchangeListener second = send(request("2"));
      read(socket);
      write(socket, unnamed + plain("2", "b"));
      assertThat(second.toTheEnd()).containsExactly("head 200 [X-Id, X-Stamp]", "chunk |b", "end");
    }
  }

  @Test
  void leavesAConnectionOnWhichTheRestOfARefusalDoesNotCome() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfu");
      assertThat(first.toTheEnd()).containsExactly("WorkerRefused false");
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void neverSendsTheSameIdTwiceOnOneConnection() throws Exception {
    RecordingExchangeListener first = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, plain("1", "a"));
      first.toTheEnd();
      RecordingExchangeListener again = send(request("1"));
      try (Socket other = accept()) {
        read(other);
        write(other, plain("1", "b"));
        assertThat(again.toTheEnd()).contains("chunk |b");
      }
    }
  }

  @Test
  void readsInterimHeadsAway() throws Exception {
    String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    assertThat(answered(interim + plain("1", "a")))
        .containsExactly("head 200 [X-Id, X-Stamp]", "chunk |a", "end")
        .inOrder();
    assertThat(answered(interim)).containsExactly("WorkerCut true");
    assertThat(answered("HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n"))
        .containsExactly("WorkerGarbage true");
    assertThat(answered("HTTP/1.1 100 Continue\r\n\r\n".repeat(9) + plain("1", "a")))
        .containsExactly("WorkerGarbage true");
  }

  @Test
  void headersOfOneConnectionAreNotSentOn() throws Exception {
    send(
        request(
            "1",
            new Header("Transfer-Encoding", "chunked"),
            new Header("content-length", "0"),
            new Header("Connection", "X-Hop"),
            new Header("X-Hop", "1")));
    try (Socket socket = accept()) {
      assertThat(read(socket))
          .isEqualTo(
              "POST /a/b?c=%20d HTTP/1.1\r\nHost: client.example\r\nX-Id: 1\r\n"
                  + "Content-Length: 4\r\n\r\nbody");
    }
  }

  @Test
  void aHeadThatCanNotBeWrittenIsNotSent() throws Exception {
    for (Header header :
        List.of(
            new Header("X", "a\r\nY: b"),
            new Header("X: y", "a"),
            new Header("X ", "a"),
            new Header("", "a"),
            new Header("X", "\u4e2d"))) {
      assertThat(send(request("1", header)).toTheEnd()).containsExactly("InvalidInput false");
    }
  }

  @Test
  void passesAFailureOfTheWorkersOwnOn() throws Exception {
    assertThat(answered("HTTP/1.1 500 Sorry\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno"))
        .containsExactly("head 500 [X-Id]", "chunk |no", "end")
        .inOrder();
  }

  @Test
  void doesNotTakeAnotherRequestsResponse() throws Exception {
    assertThat(answered(plain("0", "a"))).containsExactly("WorkerGarbage true");
  }

  @Test
  void doesNotTakeASuccessWithoutItsStamp() throws Exception {
    assertThat(answered("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na"))
        .containsExactly("WorkerGarbage true");
  }

  @Test
  void tellsBytesThatAreNoResponse() throws Exception {
    assertThat(answered("\u0000\u0001\u0002 junk")).containsExactly("WorkerGarbage true");
    assertThat(answered("HTTP/1.1 2x0 OK\r\n\r\n")).containsExactly("WorkerGarbage true");
    assertThat(answered(response("1", "Content-Length: 1\r\nTransfer-Encoding : chunked\r\n", "a")))
        .containsExactly("WorkerGarbage true");
    assertThat(answered(response("1", "Content-Length: 1\r\n X-Folded: 1\r\n", "a")))
        .containsExactly("WorkerGarbage true");
    assertThat(answered(response("1", "Content-Length: -1\r\n", "")))
        .containsExactly("WorkerGarbage true");
    assertThat(answered(response("1", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "")))
        .containsExactly("WorkerGarbage true");
    assertThat(answered(response("1", "Transfer-Encoding: chunked\r\n", "zz\r\n")))
        .contains("WorkerGarbage true");
  }

  @Test
  void doesNotTakeABodyWhoseLengthIsNotGiven() throws Exception {
    assertThat(answered(response("1", "", "who knows"))).containsExactly("WorkerGarbage true");
  }

  @Test
  void reportsATruncationBeforeTheHeadWithinABodyAndWithinChunks() throws Exception {
    assertThat(answered("")).containsExactly("WorkerCut true");
    assertThat(answered("HTTP/1.1 200 OK\r\nX-Id")).containsExactly("WorkerCut true");
    assertThat(answered(response("1", "Content-Length: 9\r\n", "half")))
        .containsExactly("head 200 [X-Id, X-Stamp]", "chunk |half", "WorkerCut true")
        .inOrder();
    assertThat(answered(response("1", "Transfer-Encoding: chunked\r\n", chunk("half"))))
        .containsExactly("head 200 [X-Id, X-Stamp]", "chunk |half", "WorkerCut true")
        .inOrder();
    assertThat(answered(response("1", "Transfer-Encoding: chunked\r\n", chunk("half") + "0\r\n")))
        .containsExactly("head 200 [X-Id, X-Stamp]", "chunk |half", "WorkerCut true")
        .inOrder();
  }

  @Test
  void splitsEventsAndLeavesTheirBytesAsTheyAre() throws Exception {
    assertThat(
            answered(
                events(
                    "1",
                    chunk("id: 1\ndata: a\n\nid: 2\r\nda"),
                    chunk("ta: b\r\n\r\n: no id\n\n"),
                    "0\r\n\r\n")))
        .containsExactly(
            "head 200 [X-Id, X-Stamp, Content-Type]",
            "chunk 1|id: 1\ndata: a\n\n",
            "chunk 2|id: 2\r\ndata: b\r\n\r\n",
            "chunk |: no id\n\n",
            "end")
        .inOrder();
  }

  @Test
  void handsEachEventOnAsItComes() throws Exception {
    RecordingExchangeListener listener = send(request("1"));
    try (Socket socket = accept()) {
      read(socket);
      write(socket, events("1", chunk("id: 1\n\n")));
      assertThat(listener.next()).startsWith("head 200");
      assertThat(listener.next()).isEqualTo("chunk 1|id: 1\n\n");
      write(socket, chunk("id: 2\n"));
      write(socket, chunk("\n"));
      assertThat(listener.next()).isEqualTo("chunk 2|id: 2\n\n");
      write(socket, "0\r\n\r\n");
      assertThat(listener.next()).isEqualTo("end");
    }
  }

  @Test
  void takesABodyThatEndsWithinAnEventForIncomplete() throws Exception {
    assertThat(answered(events("1", chunk("id: 1\n\nid: 2\nda"), "0\r\n\r\n")))
        .containsExactly(
            "head 200 [X-Id, X-Stamp, Content-Type]", "chunk 1|id: 1\n\n", "WorkerGarbage true")
        .inOrder();
  }

  @Test
  void cancelClosesTheConnection() throws Exception {
    RecordingExchangeListener listener = new RecordingExchangeListener();
    WorkerHttpExchange exchange = begin(request("1"), listener);
    try (Socket socket = accept()) {
      read(socket);
      eventloop.execute(exchange::cancel);
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
      assertThat(listener.lines).isEmpty();
    }
  }

  @Test
  void sendsNothingThatCouldLookLikeTwoRequests() throws Exception {
    ProxiedRequest smuggling =
        new ProxiedRequest(
            "1",
            "POST",
            "/a HTTP/1.1\r\nX: y",
            "client.example",
            List.of(),
            new byte[0],
            1_000,
            "",
            0,
            0,
            List.of(),
            "");
    assertThat(send(smuggling).toTheEnd()).containsExactly("InvalidInput false");
    ProxiedRequest inHeader =
        new ProxiedRequest(
            "1",
            "POST",
            "/a",
            "client.example",
            List.of(new Header("X", "y\nZ: 1")),
            new byte[0],
            1_000,
            "",
            0,
            0,
            List.of(),
            "");
    assertThat(send(inHeader).toTheEnd()).containsExactly("InvalidInput false");
  }
}

package applespindle.corelogic;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Bundle.RouteType;
import applespindle.corelogic.Bundle.Share;
import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Piece;
import applespindle.corelogic.OpaqueRequest.PromptPart;
import applespindle.corelogic.PlayedWorld.Sent;
import applespindle.corelogic.Records.Worker;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One dispatcher of opaque requests on simulated time; the test acts as its workers and clients.
 */
final class OpaqueDeskFixture extends PlayedWorld implements LiveDesk.Edge {
  static final Head GOOD = new Head(200, List.of());
  static final String POOL = "p";

  final Map<String, Worker> workers = new LinkedHashMap<>();
  final WorkerBook book = new WorkerBook(this, () -> {});
  final OpaqueDesk desk = new OpaqueDesk(this, "near", this, book);
  Bundle bundle;
  Fault mayBegin;
  Fault mayGoOn;

  OpaqueDeskFixture() {
    super(1_000);
  }

  OpaqueDeskFixture worker(String id, String pool, String zone, int slots) {
    workers.put(
        id, new Worker(id, "10.0.0.1:" + (1000 + workers.size()), pool, Worker.READY, zone, slots));
    book.follow(workers);
    return this;
  }

  void mark(String id, String state) {
    Worker old = workers.get(id);
    workers.put(id, new Worker(id, old.address(), old.pool(), state, old.zone(), old.slots()));
    book.follow(workers);
  }

  OpaqueDeskFixture routes(Route... routes) {
    Map<String, Bundle.Pool> pools =
        Map.of(POOL, new Bundle.Pool(64, 4, 1.5), "q", new Bundle.Pool(64, 4, 1.5));
    bundle = new Bundle(1, pools, List.of(), null, Arrays.asList(routes), null, null);
    return this;
  }

  Sent last() {
    return sent.get(sent.size() - 1);
  }

  Client pass(OpaqueRequest request) {
    Client client = new Client();
    client.handle = desk.take(request, client);
    return client;
  }

  @Override
  public Fault mayBegin() {
    return mayBegin == null ? mayGoOn : mayBegin;
  }

  @Override
  public Fault mayGoOn() {
    return mayGoOn;
  }

  @Override
  public Bundle bundle() {
    return bundle;
  }

  @Override
  public RouteTable routes() {
    return bundle == null ? RouteTable.EMPTY : RouteTable.compile(bundle);
  }

  @Override
  public void claimOnce(String id, String token, Consumer<Fault> then) {}

  @Override
  public void unclaimOnce(String id, String token) {}

  @Override
  public void count(String counter) {}

  /** Writes down what it hears. */
  static final class Client implements OpaqueListener {
    final List<String> heard = new ArrayList<>();
    Response refusal;
    Fault cut;
    LiveDesk.Handle handle;

    @Override
    public void head(Head head) {
      heard.add("head " + head.status());
    }

    @Override
    public void piece(Piece piece) {
      heard.add(new String(piece.bytes(), UTF_8));
    }

    @Override
    public void end() {
      heard.add("end");
    }

    @Override
    public void refused(Response response) {
      refusal = response;
      heard.add("refused " + response.status());
    }

    @Override
    public void cut(Fault fault) {
      cut = fault;
      heard.add("cut");
    }
  }

  static Route route(RouteType type, int attempts, boolean resumable, Share... split) {
    return new Route(
        "r-" + type,
        "a.example",
        "/a/",
        type,
        4_000,
        200,
        type == RouteType.STREAM ? 100 : 0,
        attempts,
        3,
        true,
        resumable,
        split.length == 0 ? List.of(new Share(POOL, 1)) : List.of(split),
        0,
        0,
        0);
  }

  static OpaqueRequest request(String id, String... parts) {
    return request(id, "A.Example:80", "/a/x?y=/b/", 2_000, parts);
  }

  static OpaqueRequest request(
      String id, String host, String target, long deadlineMs, String... parts) {
    List<PromptPart> prompt = Arrays.stream(parts).map(part -> new PromptPart(part, 400)).toList();
    return new OpaqueRequest(
        id,
        "POST",
        target,
        host,
        List.of(),
        new byte[0],
        deadlineMs,
        "m",
        400 * parts.length,
        80,
        prompt,
        "");
  }

  static Piece event(int id) {
    return new Piece(Integer.toString(id), ("e" + id).getBytes(UTF_8));
  }

  static OpaqueDeskFixture fixture(Route route) {
    return new OpaqueDeskFixture()
        .worker("w1", POOL, "near", 8)
        .worker("w2", POOL, "near", 8)
        .worker("w3", POOL, "near", 8)
        .routes(route);
  }
}

package applespindle.testfleet.deployment;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.testfleet.history.EmulatedOutput;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Emulated workers without a model: they stream a synthetic output at a set pace and report their
 * load.
 */
public final class EmulatedWorkers {
  /** Prefixes that the cache of a worker holds; the least recently used one is evicted. */
  private static final int CACHE_PREFIXES = 64;

  private static final int CACHE_PREFIX_CHARS = 256;

  /** How fast a worker is and how many requests it takes at once. */
  public record Pace(int capacity, long firstTokenMs, long tokenMs, long coldPrefixMs) {}

  /** One worker with its own HTTP server. */
  public final class Worker {
    public final String id;
    public final String address;
    private int running;
    volatile boolean leaving;
    public volatile boolean dark;
    public volatile int cutAfterTokens = -1;
    public volatile boolean garbage;
    public volatile boolean refuses;
    private int cacheHits;
    private int cacheLooks;
    private final Map<String, Boolean> cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHE_PREFIXES;
          }
        };

    Worker(String id, String address) {
      this.id = id;
      this.address = address;
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
      if (dark) {
        return new SettablePromise<>();
      }
      if (request.getMethod() == HttpMethod.GET && request.getPath().equals("/load")) {
        ObjectNode load =
            JSON.createObjectNode()
                .put("running", running)
                .put("queued", 0)
                .put("capacity", pace.capacity())
                .put("leaving", leaving);
        return Promise.of(HttpResponse.ok200().withJson(load.toString()).build());
      }
      if (request.getMethod() != HttpMethod.POST || !request.getPath().equals("/v1/completions")) {
        return Promise.of(HttpResponse.ofCode(404).build());
      }
      return request.loadBody().map(body -> begin(JSON.readTree(body.getString(UTF_8))));
    }

    private HttpResponse begin(JsonNode body) {
      if (refuses || running >= pace.capacity()) {
        return HttpResponse.ofCode(503).build();
      }
      String prompt = body.path("prompt").asText();
      String item = body.path("applespindle_item").asText("");
      history.add(nowMs(), Kind.WORKER_RECEIVED, id, item, prompt, 0);
      running++;
      String prefix = prompt.substring(0, Math.min(prompt.length(), CACHE_PREFIX_CHARS));
      boolean warm = cache.put(prefix, true) != null;
      cacheLooks++;
      cacheHits += warm ? 1 : 0;
      int tokens = body.path("max_tokens").asInt(EmulatedOutput.DEFAULT_TOKENS);
      return HttpResponse.ok200()
          .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
          .withBodyStream(new Output(prompt, item, tokens, warm ? 0 : pace.coldPrefixMs()))
          .build();
    }

    private final class Output extends AbstractChannelSupplier<ByteBuf> {
      private final String prompt;
      private final String item;
      private final int tokens;
      private final long coldMs;
      private int position;
      private boolean over;

      Output(String prompt, String item, int tokens, long coldMs) {
        this.prompt = prompt;
        this.item = item;
        this.tokens = tokens;
        this.coldMs = coldMs;
      }

      @Override
      protected Promise<ByteBuf> doGet() {
        if (position > tokens) {
          leave();
          return Promise.of(null);
        }
        SettablePromise<ByteBuf> promise = new SettablePromise<>();
        eventloop.delay(waitBeforeNext(), () -> next(promise));
        return promise;
      }

      private long waitBeforeNext() {
        if (position == 0) {
          return pace.firstTokenMs() + coldMs;
        }
        return position == tokens ? 0 : pace.tokenMs();
      }

      private void next(SettablePromise<ByteBuf> promise) {
        if (dark || isClosed()) {
          return;
        }
        if (position == cutAfterTokens) {
          leave();
          promise.trySetException(new IOException("cut"));
          return;
        }
        if (garbage) {
          position = tokens + 1;
          promise.trySet(ByteBuf.wrapForReading("<<garbage>>\n\n".getBytes(UTF_8)));
          return;
        }
        boolean last = position == tokens;
        String text = last ? "" : EmulatedOutput.token(prompt, position);
        position++;
        if (last) {
          history.add(nowMs(), Kind.WORKER_FINISHED, id, item, prompt, 0);
        }
        ObjectNode data = JSON.createObjectNode();
        data.putArray("choices")
            .addObject()
            .put("text", text)
            .put("finish_reason", last ? "stop" : null);
        String event =
            "data: "
                + new String(Json.bytes(data), UTF_8)
                + "\n\n"
                + (last ? "data: [DONE]\n\n" : "");
        promise.trySet(ByteBuf.wrapForReading(event.getBytes(UTF_8)));
      }

      private void leave() {
        if (!over) {
          over = true;
          running--;
        }
      }

      @Override
      protected void onClosed(Exception fault) {
        leave();
      }
    }

    /** The share of prompts whose leading blocks a worker had in its cache, from 0 to 1. */
    public double cacheHitShare() {
      return cacheLooks == 0 ? 0 : (double) cacheHits / cacheLooks;
    }
  }

  private final Eventloop eventloop = Eventloop.builder().withThreadName("workers").build();
  private final Pace pace;
  private final List<Worker> workers = new ArrayList<>();
  private final History history;

  /** Workers on a thread of their own, none as yet; what they receive goes to the history. */
  public EmulatedWorkers(Pace pace, History history) {
    this.pace = pace;
    this.history = history;
  }

  /** Monotonic time in milliseconds, the clock of the history. */
  public static long nowMs() {
    return System.nanoTime() / 1_000_000L;
  }

  /**
   * Adds a worker that listens at an address.
   *
   * @throws IOException if the address can not be listened on
   */
  public Worker add(String id, String address) throws IOException {
    Worker worker = new Worker(id, address);
    int colon = address.lastIndexOf(':');
    HttpServer.builder(eventloop, worker::serve)
        .withListenAddress(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))))
        .build()
        .listen();
    workers.add(worker);
    return worker;
  }

  /** Starts the thread of the workers. */
  public void start() {
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "workers");
    thread.setDaemon(true);
    thread.start();
  }

  /** All workers, in the order in which they were added. */
  public List<Worker> all() {
    return workers;
  }
}

package applespindle.dataplane;

import applespindle.adapters.NodeProcess;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * One opaque request between the http thread, where its client is, and the logic thread, where it
 * is decided. What the logic tells is passed on in order, and what it tells in one task goes over
 * in one; the client's going is told to the logic at most once.
 */
final class ProxyExchange implements ProxiedResponseListener {
  private static final int GATHERED_LEAST = 4;
  private static final int WAITING_BYTES_MOST = 4 << 20;

  private final NodeProcess process;
  private final SettablePromise<HttpResponse> response;
  private final Function<Response, HttpResponse> refusal;

  /** On the http thread only. */
  private ChunkStream body;

  private boolean over;

  /** On the logic thread only. */
  private RequestHandle handle;

  private boolean gone;

  /** What the logic has told and the http thread has not taken yet. */
  private static final class Told {
    ResponseHead head;
    final List<byte[]> pieces = new ArrayList<>(GATHERED_LEAST);
    Response refused;
    boolean ended;
    boolean cut;
  }

  /** Guarded by this; null once the http thread has taken it. */
  private Told told;

  ProxyExchange(
      NodeProcess process,
      SettablePromise<HttpResponse> response,
      Function<Response, HttpResponse> refusal) {
    this.process = process;
    this.response = response;
    this.refusal = refusal;
  }

  /** On the logic thread. */
  void begin(Function<ProxiedResponseListener, RequestHandle> pass) {
    if (gone) {
      return;
    }
    handle = pass.apply(this);
  }

  /** On the http thread. */
  void clientGone() {
    if (!over) {
      over = true;
      process.toLogic(
          () -> {
            gone = true;
            if (handle != null) {
              handle.cancel();
            }
          });
    }
  }

  // ---- on the logic thread

  private synchronized void tell(Consumer<Told> what) {
    boolean first = told == null;
    if (first) {
      told = new Told();
    }
    what.accept(told);
    if (first) {
      process.toHttpAfterThis(this::take);
    }
  }

  @Override
  public void head(ResponseHead head) {
    tell(told -> told.head = head);
  }

  @Override
  public void chunk(ResponseChunk piece) {
    tell(told -> told.pieces.add(piece.bytes()));
  }

  @Override
  public void end() {
    tell(told -> told.ended = true);
  }

  @Override
  public void rejected(Response refused) {
    tell(told -> told.refused = refused);
  }

  @Override
  public void truncated(ApiError error) {
    tell(told -> told.cut = true);
  }

  // ---- on the http thread

  private synchronized Told taken() {
    Told present = told;
    told = null;
    return present;
  }

  private void take() {
    Told told = taken();
    if (told.refused != null) {
      over = true;
      response.trySet(refusal.apply(told.refused));
      return;
    }
    if (told.head != null && told.ended) {
      over = true;
      response.trySet(begin(told.head).withBody(join(told.pieces)).build());
      return;
    }
    if (told.head != null) {
      body = new ChunkStream(this::clientGone, Integer.MAX_VALUE, WAITING_BYTES_MOST);
      boolean bodiless = told.head.status() == 204 || told.head.status() == 304;
      HttpResponse.Builder builder = begin(told.head);
      response.trySet(bodiless ? builder.build() : builder.withBodyStream(body).build());
    }
    told.pieces.forEach(body::push);
    if (told.ended) {
      over = true;
      body.end();
    } else if (told.cut) {
      over = true;
      body.cut();
    }
  }

  private static HttpResponse.Builder begin(ResponseHead head) {
    HttpResponse.Builder builder = HttpResponse.ofCode(head.status());
    for (ProxiedRequest.Header header : head.headers()) {
      builder.withHeader(HttpHeaders.of(header.name()), header.value());
    }
    return builder;
  }

  private static byte[] join(List<byte[]> pieces) {
    if (pieces.size() == 1) {
      return pieces.get(0);
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    pieces.forEach(all::writeBytes);
    return all.toByteArray();
  }
}

package applespindle.dataplane;

import applespindle.adapters.NodeProcess;
import applespindle.adapters.QueuedBytes;
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
 * One proxied request between the HTTP thread, where its client is, and the logic thread, where it
 * is dispatched. What the logic reports is passed on in order, and what it reports in one task is
 * passed on in one; that the client has gone is reported to the logic at most once.
 */
final class ProxyExchange implements ProxiedResponseListener {
  private static final int INITIAL_CHUNKS = 4;
  private static final int MAX_QUEUED_BYTES = 4 << 20;

  private final NodeProcess process;
  private final SettablePromise<HttpResponse> response;
  private final Function<Response, HttpResponse> refusal;
  private final QueuedBytes queuedResponses;

  /** On the HTTP thread. */
  private final Runnable whenOver;

  /** On the HTTP thread only. */
  private ChunkStream body;

  private boolean over;

  /** On the logic thread only. */
  private RequestHandle handle;

  private boolean clientDisconnected;

  /** What the logic has reported and the HTTP thread has not taken yet. */
  private static final class PendingUpdate {
    ResponseHead head;
    final List<byte[]> chunks = new ArrayList<>(INITIAL_CHUNKS);
    Response refused;
    boolean ended;
    boolean truncated;
  }

  /** Guarded by this; null once the HTTP thread has taken it. */
  private PendingUpdate pendingUpdate;

  /**
   * @param queuedResponses where bytes that clients have not read yet are counted
   * @param whenOver runs once the request has ended or its client has gone; its body is then of no
   *     more use here
   */
  ProxyExchange(
      NodeProcess process,
      SettablePromise<HttpResponse> response,
      Function<Response, HttpResponse> refusal,
      QueuedBytes queuedResponses,
      Runnable whenOver) {
    this.process = process;
    this.response = response;
    this.refusal = refusal;
    this.queuedResponses = queuedResponses;
    this.whenOver = whenOver;
  }

  private void markOver() {
    over = true;
    whenOver.run();
  }

  /** On the logic thread. */
  void begin(Function<ProxiedResponseListener, RequestHandle> pass) {
    if (clientDisconnected) {
      return;
    }
    handle = pass.apply(this);
  }

  /** On the HTTP thread. */
  void clientGone() {
    if (!over) {
      markOver();
      process.toLogic(
          () -> {
            clientDisconnected = true;
            if (handle != null) {
              handle.cancel();
            }
          });
    }
  }

  // ---- on the logic thread

  private synchronized void report(Consumer<PendingUpdate> change) {
    boolean first = pendingUpdate == null;
    if (first) {
      pendingUpdate = new PendingUpdate();
    }
    change.accept(pendingUpdate);
    if (first) {
      process.toHttpAfterCurrentTask(this::applyUpdate);
    }
  }

  @Override
  public void head(ResponseHead head) {
    report(update -> update.head = head);
  }

  @Override
  public void chunk(ResponseChunk chunk) {
    report(update -> update.chunks.add(chunk.bytes()));
  }

  @Override
  public void end() {
    report(update -> update.ended = true);
  }

  @Override
  public void rejected(Response refused) {
    report(update -> update.refused = refused);
  }

  @Override
  public void truncated(ApiError error) {
    report(update -> update.truncated = true);
  }

  // ---- on the HTTP thread

  private synchronized PendingUpdate takeUpdate() {
    PendingUpdate present = pendingUpdate;
    pendingUpdate = null;
    return present;
  }

  private void applyUpdate() {
    PendingUpdate update = takeUpdate();
    if (update.refused != null) {
      markOver();
      response.trySet(refusal.apply(update.refused));
      return;
    }
    if (update.head != null && update.ended) {
      markOver();
      response.trySet(begin(update.head).withBody(join(update.chunks)).build());
      return;
    }
    if (update.head != null) {
      body =
          new ChunkStream(this::clientGone, Integer.MAX_VALUE, MAX_QUEUED_BYTES, queuedResponses);
      boolean bodiless = update.head.status() == 204 || update.head.status() == 304;
      HttpResponse.Builder builder = begin(update.head);
      response.trySet(bodiless ? builder.build() : builder.withBodyStream(body).build());
    }
    update.chunks.forEach(body::push);
    if (update.ended) {
      markOver();
      body.end();
    } else if (update.truncated) {
      markOver();
      body.truncate();
    }
  }

  private static HttpResponse.Builder begin(ResponseHead head) {
    HttpResponse.Builder builder = HttpResponse.ofCode(head.status());
    for (ProxiedRequest.Header header : head.headers()) {
      builder.withHeader(HttpHeaders.of(header.name()), header.value());
    }
    return builder;
  }

  private static byte[] join(List<byte[]> chunks) {
    if (chunks.size() == 1) {
      return chunks.get(0);
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    chunks.forEach(all::writeBytes);
    return all.toByteArray();
  }
}

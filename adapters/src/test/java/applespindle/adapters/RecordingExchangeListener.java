package applespindle.adapters;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records what an exchange reports, one line each in order; a test waits for the next. */
final class RecordingExchangeListener implements ExchangeListener {
  private static final long LIMIT_S = 20;

  final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

  @Override
  public void head(ResponseHead head) {
    lines.add("head " + head.status() + " " + head.headers().stream().map(Header::name).toList());
  }

  @Override
  public void chunk(ResponseChunk chunk) {
    lines.add("chunk " + chunk.eventId() + "|" + new String(chunk.bytes(), ISO_8859_1));
  }

  @Override
  public void end() {
    lines.add("end");
  }

  @Override
  public void load(WorkerLoad load) {
    lines.add("load " + load.running());
  }

  @Override
  public void fail(ApiError error, boolean mayHaveRun) {
    lines.add(error.type() + " " + mayHaveRun);
  }

  String next() throws InterruptedException {
    return lines.poll(LIMIT_S, TimeUnit.SECONDS);
  }

  List<String> toTheEnd() throws InterruptedException {
    List<String> all = new ArrayList<>();
    do {
      all.add(next());
    } while (all.get(all.size() - 1) != null
        && all.get(all.size() - 1).matches("(?s)(head|chunk|load).*"));
    return all;
  }
}

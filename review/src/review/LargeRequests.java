package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Streaming requests whose bodies are within the limits of the configuration: some clients at once
 * at two edges, three times. Without the trouble the same requests come one after the other. No
 * process may end by itself three times on two machines.
 */
final class LargeRequests extends Case {
  private static final int BODY_BYTES = 4_000_000;

  /** Clients that come at once to one edge. */
  private static final int AT_ONCE = 16;

  private static final int WAVES = 3;
  private static final long WAVE_GAP_MS = 8_000;
  private static final int DEADLINE_MS = 4_000;

  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final ExecutorService clients =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "client");
            thread.setDaemon(true);
            return thread;
          });
  private int sent;

  public static void main(String[] arguments) throws Exception {
    new LargeRequests().run(arguments[0]);
  }

  @Override
  int play(boolean trouble) throws Exception {
    List<Fleet.Program> edges =
        List.of(fleet.of("edge-a-1", "data-plane"), fleet.of("edge-b-1", "data-plane"));
    for (int wave = 0; wave < WAVES; wave++) {
      for (Fleet.Program edge : edges) {
        awaitReady(edge);
      }
      record.say("wave " + (wave + 1));
      List<Future<?>> open = new ArrayList<>();
      for (int each = 0; each < AT_ONCE; each++) {
        for (Fleet.Program edge : edges) {
          InetSocketAddress address = fleet.address(edge, Fleet.CLIENT);
          String id = String.format("req%04d", sent++);
          Future<?> call = clients.submit(() -> call(id, edge, address));
          if (trouble) {
            open.add(call);
          } else {
            call.get();
          }
        }
      }
      for (Future<?> call : open) {
        call.get();
      }
      Thread.sleep(WAVE_GAP_MS);
    }
    record.say(sent + " requests sent, " + runs + " runs, answers: " + outcomes);
    record.say("ended by themselves: " + new TreeMap<>(exits));
    if (!trouble && outcomes.getOrDefault("200", 0) < sent / 2) {
      return COULD_NOT_RUN;
    }
    return breaksFault() ? BROKEN : HELD;
  }

  /** The platform sends new connections only to nodes that are ready. */
  private void awaitReady(Fleet.Program edge) throws InterruptedException {
    for (int attempt = 0; attempt < 100 && !fleet.ready(edge); attempt++) {
      Thread.sleep(100);
    }
  }

  /** One try of one client; a stream that may not be resumed is not tried again. */
  private void call(String id, Fleet.Program edge, InetSocketAddress address) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Applespindle-Request-Id", id);
    headers.put("Applespindle-Model-Name", "m");
    headers.put("Applespindle-Token-Usage", "1460,80");
    headers.put("Applespindle-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    headers.put("Applespindle-Deadline-Remaining", Integer.toString(DEADLINE_MS));
    byte[] body = new byte[BODY_BYTES];
    String outcome;
    try {
      Http.Answer answer =
          Http.call(address, "POST", "/once/2f", Config.HOST, headers, body, DEADLINE_MS);
      outcome = answer.status + (answer.complete ? "" : " cut short");
    } catch (IOException fault) {
      outcome = fault.getClass().getSimpleName() + " " + fault.getMessage();
    }
    record.add("POST " + id + " at " + edge + ": " + outcome);
    synchronized (outcomes) {
      outcomes.merge(outcome, 1, Integer::sum);
    }
  }
}

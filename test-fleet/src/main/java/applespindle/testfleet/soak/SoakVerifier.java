package applespindle.testfleet.soak;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.checker.Checker;
import applespindle.testfleet.processes.Fleet;
import applespindle.testfleet.processes.Fleet.Member;
import applespindle.testfleet.processes.RealTraffic;
import applespindle.testfleet.processes.RealTraffic.Batch;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Checks a healed fleet: the history of its clients, its own counters and its logs. */
final class SoakVerifier {
  private static final long READABLE_MS = 30_000;
  private static final long AGAIN_MS = 300;
  private static final int PAGE_MOST = 1_000;

  /** A process logs at this level only if one of its own steps failed unexpectedly. */
  private static final String LOGGED_FAULT = " ERROR ";

  private final Fleet fleet;
  private final InvariantCounters invariants;
  private final List<String> violations = new ArrayList<>();

  SoakVerifier(Fleet fleet, InvariantCounters invariants) {
    this.fleet = fleet;
    this.invariants = invariants;
  }

  List<String> verify(List<Batch> batches) throws IOException, InterruptedException {
    for (Batch batch : batches) {
      checkFinished(batch);
    }
    readEverywhere(batches.stream().filter(Batch::finished).toList());
    for (Checker.Violation violation : Checker.check(fleet.history)) {
      violations.add(violation.toString());
    }
    for (Member member : fleet.members.values()) {
      checkCounters(member);
      checkLog(member);
    }
    invariants.broken().forEach(broken -> violations.add("INVARIANT " + broken));
    return violations;
  }

  /** Checks that a batch has ended; its sender waited long after the last fault. */
  private void checkFinished(Batch batch) {
    if (batch.accepted() && !batch.finished()) {
      violations.add("NOT_FINISHED " + batch.key() + " " + batch.id());
    } else if (!batch.accepted() && !batch.refused()) {
      violations.add("NOT_TAKEN " + batch.key() + " last answered " + batch.status());
    }
  }

  /** Reads every finished batch at every edge into the history, where all reads are compared. */
  private void readEverywhere(List<Batch> finished) throws InterruptedException {
    for (Member edge : fleet.ofRole("edge")) {
      long latest = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READABLE_MS);
      for (Batch batch : finished) {
        while (!readAllResults(edge, batch)) {
          if (System.nanoTime() > latest) {
            violations.add("NOT_READABLE " + batch.key() + " at " + edge.name);
            break;
          }
          TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
      }
    }
  }

  private boolean readAllResults(Member edge, Batch batch) {
    long after = 0;
    while (true) {
      String path = "/v1/batches/" + batch.id() + "/results?after=" + after + "&limit=" + PAGE_MOST;
      Result result = fleet.caller.get(edge.clients, path);
      JsonNode page = result.body();
      RealTraffic.seeResults(fleet.history, batch.key(), result.status(), page);
      if (!result.good() || !page.path("state").asText().equals("finished")) {
        return false;
      }
      after = page.path("next").asLong();
      if (page.path("results").isEmpty() || after >= batch.items()) {
        return after >= batch.items();
      }
    }
  }

  private void checkCounters(Member member) {
    if (!member.alive()) {
      violations.add("ENDED_BY_ITSELF " + member.name);
    } else if (!invariants.read(member)) {
      violations.add("NO_METRICS " + member.name);
    }
  }

  private void checkLog(Member member) throws IOException {
    List<String> lines = Files.readAllLines(member.log.toPath(), StandardCharsets.UTF_8);
    lines.stream()
        .filter(line -> line.contains(LOGGED_FAULT))
        .distinct()
        .forEach(line -> violations.add("LOGGED " + member.name + " " + line));
  }
}

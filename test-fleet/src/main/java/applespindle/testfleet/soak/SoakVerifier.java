package applespindle.testfleet.soak;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.Checker;
import applespindle.testfleet.Fleet;
import applespindle.testfleet.Fleet.Member;
import applespindle.testfleet.RealTraffic;
import applespindle.testfleet.RealTraffic.Batch;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Judges a healed fleet by what clients see of it, by its own counters and by its logs. */
final class SoakVerifier {
  private static final long READABLE_MS = 30_000;
  private static final long AGAIN_MS = 300;
  private static final int PAGE_MOST = 1_000;

  /** What no process writes unless one of its own steps failed in an unforeseen way. */
  private static final String LOGGED_FAULT = " ERROR ";

  private final Fleet fleet;
  private final InvariantCounters invariants;
  private final List<String> violations = new ArrayList<>();

  SoakVerifier(Fleet fleet, InvariantCounters invariants) {
    this.fleet = fleet;
    this.invariants = invariants;
  }

  List<String> judge(List<Batch> batches) throws IOException, InterruptedException {
    for (Batch batch : batches) {
      ended(batch);
    }
    readEverywhere(batches.stream().filter(Batch::finished).toList());
    for (Checker.Violation violation : Checker.check(fleet.history)) {
      violations.add(violation.toString());
    }
    for (Member member : fleet.members.values()) {
      ownCounters(member);
      log(member);
    }
    invariants.broken().forEach(broken -> violations.add("INVARIANT " + broken));
    return violations;
  }

  /** Its sender waited for long after all was healed. */
  private void ended(Batch batch) {
    if (batch.accepted() && !batch.finished()) {
      violations.add("NOT_FINISHED " + batch.key() + " " + batch.id());
    } else if (!batch.accepted() && !batch.refused()) {
      violations.add("NOT_TAKEN " + batch.key() + " last answered " + batch.status());
    }
  }

  /** What is read goes into the history, whose checker compares it with all that was read. */
  private void readEverywhere(List<Batch> finished) throws InterruptedException {
    for (Member edge : fleet.ofRole("edge")) {
      long latest = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READABLE_MS);
      for (Batch batch : finished) {
        while (!readWhole(edge, batch)) {
          if (System.nanoTime() > latest) {
            violations.add("NOT_READABLE " + batch.key() + " at " + edge.name);
            break;
          }
          TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
      }
    }
  }

  private boolean readWhole(Member edge, Batch batch) {
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

  private void ownCounters(Member member) {
    if (!member.alive()) {
      violations.add("ENDED_BY_ITSELF " + member.name);
    } else if (!invariants.read(member)) {
      violations.add("NO_METRICS " + member.name);
    }
  }

  private void log(Member member) throws IOException {
    List<String> lines = Files.readAllLines(member.log.toPath(), StandardCharsets.UTF_8);
    lines.stream()
        .filter(line -> line.contains(LOGGED_FAULT))
        .distinct()
        .forEach(line -> violations.add("LOGGED " + member.name + " " + line));
  }
}

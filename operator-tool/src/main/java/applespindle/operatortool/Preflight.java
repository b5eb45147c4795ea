package applespindle.operatortool;

import applespindle.adapters.ExitStatus;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks every process of a tier for its status and tells whether the tier may be given traffic. Each
 * fault is printed with the process that it concerns.
 */
final class Preflight {
  private final HttpCaller caller;
  private final List<PreflightFinding> findings = new ArrayList<>();

  /** The status of each process that answered, by its address. */
  private final Map<String, JsonNode> statuses = new LinkedHashMap<>();

  /** The reason why a process is not ready, by its id; only those that are not. */
  private final Map<String, String> notReady = new LinkedHashMap<>();

  private Preflight(HttpCaller caller) {
    this.caller = caller;
  }

  /**
   * Checks a tier and prints what was found.
   *
   * @param addresses the HTTP addresses of all its processes
   */
  static ExitStatus run(HttpCaller caller, List<String> addresses) {
    Preflight preflight = new Preflight(caller);
    addresses.forEach(preflight::ask);
    PreflightChecks.Report report = PreflightChecks.run(preflight.statuses, preflight.notReady);
    preflight.findings.addAll(report.findings());
    return preflight.print(report.processes());
  }

  private void ask(String address) {
    HttpCaller.Result status = caller.get(address, "/v1/status");
    if (!status.good()) {
      String reason = status.status() == 0 ? status.text() : "status " + status.status();
      findings.add(new PreflightFinding(address, "no status: " + reason));
      return;
    }
    statuses.put(address, status.body());
    HttpCaller.Result ready = caller.get(address, "/ready");
    if (!ready.good()) {
      String reason = ready.body().at("/detail/reason").asText("no response");
      notReady.put(status.body().path("id").asText(), reason);
    }
  }

  private ExitStatus print(int processes) {
    findings.forEach(finding -> System.out.println(finding.where() + ": " + finding.fault()));
    if (findings.isEmpty()) {
      System.out.println("good: " + processes + " processes");
      return ExitStatus.DONE;
    }
    System.out.println(findings.size() + " faults; do not move traffic");
    return ExitStatus.REFUSED;
  }
}

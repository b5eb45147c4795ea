package applespindle.testfleet.ci;

import applespindle.testfleet.ci.KnownRed.Outcome;
import applespindle.testfleet.ci.KnownRed.Verdict;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Reads the reports of a run of all tests under a folder and KNOWN-RED.txt there, and prints
 * whether the run passes.
 */
public final class KnownRedProgram {
  /** Prints the verdict on a run of all tests; exit status 1 if the run does not pass. */
  public static void main(String[] arguments) throws IOException, ParserConfigurationException {
    System.exit(run(Path.of(arguments.length > 0 ? arguments[0] : ".")));
  }

  static int run(Path root) throws IOException, ParserConfigurationException {
    List<String> reasons = new ArrayList<>();
    Map<String, Outcome> results = new TreeMap<>();
    List<String> unreported = new ArrayList<>();
    for (Path module : modules(root)) {
      Path reports = module.resolve("target/surefire-reports");
      for (Path report : files(reports, "TEST-", ".xml")) {
        read(report, results, reasons);
      }
      for (Path source : files(module.resolve("src/test/java"), "", "Test.java")) {
        String name =
            module
                .resolve("src/test/java")
                .relativize(source)
                .toString()
                .replace('/', '.')
                .replaceAll("[.]java$", "");
        if (!Files.exists(reports.resolve("TEST-" + name + ".xml"))) {
          unreported.add(name);
        }
      }
    }
    Path list = root.resolve("KNOWN-RED.txt");
    Verdict verdict =
        KnownRed.judge(
            results, unreported, Files.exists(list) ? Files.readAllLines(list) : List.of());
    verdict.known().forEach(line -> System.out.println("known red: " + line));
    reasons.addAll(verdict.reasons());
    reasons.forEach(reason -> System.out.println("CI fails: " + reason));
    System.out.println(
        results.size()
            + " tests, "
            + verdict.known().size()
            + " known red, "
            + reasons.size()
            + " reasons to fail");
    return reasons.isEmpty() ? 0 : 1;
  }

  private static List<Path> modules(Path root) throws IOException {
    try (Stream<Path> folders = Files.list(root)) {
      return folders.filter(folder -> Files.exists(folder.resolve("pom.xml"))).sorted().toList();
    }
  }

  private static List<Path> files(Path folder, String begin, String end) throws IOException {
    if (!Files.exists(folder)) {
      return List.of();
    }
    try (Stream<Path> all = Files.walk(folder)) {
      return all.filter(
              file ->
                  file.getFileName().toString().startsWith(begin)
                      && file.getFileName().toString().endsWith(end))
          .sorted()
          .toList();
    }
  }

  /**
   * A report that can not be read is a reason to fail. Of a test that is reported more than once
   * the worst counts.
   */
  private static void read(Path report, Map<String, Outcome> results, List<String> reasons)
      throws IOException, ParserConfigurationException {
    DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
    try {
      NodeList cases = builder.parse(report.toFile()).getElementsByTagName("testcase");
      for (int index = 0; index < cases.getLength(); index++) {
        Element test = (Element) cases.item(index);
        boolean failed =
            Stream.of(
                    "failure", "error", "flakyFailure", "flakyError", "rerunFailure", "rerunError")
                .anyMatch(kind -> test.getElementsByTagName(kind).getLength() > 0);
        boolean skipped = test.getElementsByTagName("skipped").getLength() > 0;
        Outcome notFailed = skipped ? Outcome.SKIPPED : Outcome.PASSED;
        String name = test.getAttribute("classname") + "." + test.getAttribute("name");
        results.merge(name, failed ? Outcome.FAILED : notFailed, KnownRedProgram::worst);
      }
    } catch (SAXException fault) {
      reasons.add("a report can not be read: " + report);
    }
  }

  private static Outcome worst(Outcome one, Outcome other) {
    if (one == Outcome.FAILED || other == Outcome.FAILED) {
      return Outcome.FAILED;
    }
    return one == Outcome.SKIPPED ? one : other;
  }

  private KnownRedProgram() {}
}

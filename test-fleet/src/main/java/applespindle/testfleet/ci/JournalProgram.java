package applespindle.testfleet.ci;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Lists what the pages cite of the measurement journal without a finished run. Ids are looked for
 * in all pages; scores in the reports, as the older records name days in other ways. The argument
 * is the root of the project; exit status 1 stands for findings.
 */
public final class JournalProgram {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String REPORTS = "docs/reports/";

  private JournalProgram() {}

  /** Prints the findings, a line each. */
  public static void main(String[] arguments) throws IOException {
    List<String> findings = findings(Path.of(arguments.length > 0 ? arguments[0] : "."));
    findings.forEach(System.out::println);
    System.out.println(findings.size() + " citations without a finished run");
    System.exit(findings.isEmpty() ? 0 : 1);
  }

  static List<String> findings(Path root) throws IOException {
    List<JournalEntry> entries = new ArrayList<>();
    for (Path file : files(root.resolve("journal"), ".json")) {
      entries.add(JournalEntry.of(JSON.readTree(Files.readAllBytes(file))));
    }
    JournalCitations citations = new JournalCitations(entries);
    List<String> findings = new ArrayList<>();
    for (Path file : files(root.resolve("docs"), ".md")) {
      String page = root.relativize(file).toString();
      List<String> lines = Files.readAllLines(file);
      if (page.startsWith(REPORTS)) {
        findings.addAll(citations.findingsIn(page, lines));
      } else {
        findings.addAll(citations.citationsIn(page, lines));
      }
    }
    return findings;
  }

  private static List<Path> files(Path folder, String ending) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(file -> file.toString().endsWith(ending)).sorted().toList();
    }
  }
}

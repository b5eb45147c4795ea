package applespindle.testfleet.capacity;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.testfleet.capacity.Measurements.MeasurementRun;
import applespindle.testfleet.capacity.Measurements.Row;
import applespindle.testfleet.capacity.Measurements.UnusableMeasurementsException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the program refuses, and what it makes of figures. */
class CapacityProgramTest {
  @TempDir Path folder;

  /** What was said on the way out with status 2. */
  private String refused(String... arguments) {
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    assertThat(CapacityProgram.run(arguments, new PrintStream(said, true, UTF_8))).isEqualTo(2);
    return said.toString(UTF_8);
  }

  private List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.toList();
    }
  }

  @Test
  void namesEverySizeThatIsOutOfRange() throws IOException {
    String said =
        refused(
            "scale",
            "--nodes",
            "3",
            "50",
            "9000",
            "--workers",
            "-1",
            "--seconds",
            "0",
            "--runs",
            "0",
            "--changes-a-minute",
            "0",
            "--hosts",
            "0",
            "--heap",
            "1",
            "--out",
            folder.toString());
    for (String reason :
        List.of(
            "--nodes must be from 12 to 2000, not 3",
            "--nodes must be from 12 to 2000, not 9000",
            "--workers must be",
            "--seconds must be",
            "--runs must be",
            "--changes-a-minute must be",
            "--hosts must be",
            "--heap must be")) {
      assertThat(said).contains(reason);
    }
    assertThat(files()).isEmpty();
  }

  @Test
  void refusesARunThatTheMemoryDoesNotHold() throws IOException {
    assertThat(
            refused("scale", "--nodes", "2000", "--workers", "20000", "--out", folder.toString()))
        .contains("too little memory: 2000 nodes and 20000 workers want a heap of");
    assertThat(
            refused(
                "scale",
                "--processes",
                "--nodes",
                "2000",
                "--heap",
                "4096",
                "--hosts",
                "50",
                "--folder",
                folder.resolve("data").toString()))
        .contains("too little memory: 2000 nodes want");
    assertThat(files()).isEmpty();
  }

  @Test
  void refusesUnknownExperimentsAndCommands() throws IOException {
    assertThat(
            refused(
                "slopes",
                "--only",
                "nodes",
                "moon",
                "--runs",
                "0",
                "--name",
                "../x",
                "--out",
                folder.toString()))
        .contains("there is no experiment moon");
    assertThat(refused("slopes", "--runs", "many")).contains("many");
    assertThat(refused("grow")).contains("grow");
    assertThat(files()).isEmpty();
  }

  @Test
  void refusesAFolderThatIsThere() {
    assertThat(refused("scale", "--processes", "--nodes", "50", "--folder", folder.toString()))
        .contains("exists already");
  }

  @Test
  void refusesABrokenResultFileAndDrawsNothing() throws IOException {
    Path broken = folder.resolve("broken.json");
    Path pictures = folder.resolve("pictures");
    for (String text :
        List.of(
            "",
            "{",
            "[]",
            "{}",
            "null",
            "{\"made\":{},\"rows\":[]}",
            "{\"made\":{},\"rows\":[null]}",
            "{\"made\":{},\"rows\":[{\"experiment\":\"a\"}]}",
            "{\"made\":{},\"rows\":[{\"experiment\":\"a\",\"more\":1}]}")) {
      Files.writeString(broken, text);
      assertThat(refused("plot", broken.toString(), "--out", pictures.toString()))
          .contains("broken.json is not a result file");
    }
    assertThat(refused("plot", folder.resolve("none.json").toString())).contains("can not be read");
    assertThat(Files.exists(pictures)).isFalse();
  }

  private static List<Row> rows() {
    Measurements measured = new Measurements();
    for (int size : new int[] {10, 20, 40}) {
      DoubleStream.of(0.9, 1, 1.1)
          .forEach(
              spread -> {
                measured.add(
                    "line", "edge", "bytes", "B/s", "nodes", size, spread * (100 + 5 * size));
                measured.add("square", "core", "bytes", "B/s", "nodes", size, spread * size * size);
              });
    }
    return measured.rows();
  }

  @Test
  void tellsASquareFromALine() {
    List<List<Row>> series = List.copyOf(Measurements.bySeries(rows()).values());
    assertThat(Measurements.slope(series.get(0)).slope()).isWithin(1e-9).of(5);
    assertThat(Measurements.slope(series.get(0)).offset()).isWithin(1e-9).of(100);
    assertThat(Measurements.slope(series.get(1)).exponent()).isWithin(1e-9).of(2);
  }

  @Test
  void keepsMedianAndSpread() {
    Row row = rows().get(0);
    assertThat(row.median()).isWithin(1e-9).of(150);
    assertThat(row.least()).isWithin(1e-9).of(135);
    assertThat(row.most()).isWithin(1e-9).of(165);
    assertThat(row.runs()).isEqualTo(3);
  }

  @Test
  void readsBackWhatItWroteAndDrawsIt() throws IOException, UnusableMeasurementsException {
    var made = new MeasurementRun("abc", "now", "17", 4, "slopes");
    Path file = folder.resolve("some.json");
    Measurements.write(file, new Measurements.File(made, rows()));
    assertThat(Measurements.read(file)).isEqualTo(new Measurements.File(made, rows()));
    assertThat(
            CapacityProgram.run(
                new String[] {"plot", file.toString(), "--out", folder.toString()}, System.err))
        .isEqualTo(0);
    assertThat(files())
        .containsExactly(file, folder.resolve("line-B-s.png"), folder.resolve("square-B-s.png"));
  }

  @Test
  void refusesFilesOfDifferentCommits() throws IOException {
    for (String commit : List.of("abc", "def")) {
      Measurements.write(
          folder.resolve(commit + ".json"),
          new Measurements.File(new MeasurementRun(commit, "now", "17", 4, "slopes"), rows()));
    }
    assertThat(
            refused(
                "plot",
                folder.resolve("abc.json").toString(),
                folder.resolve("def.json").toString()))
        .contains("def.json is of commit def, the file before it of abc");
  }

  @Test
  void wantsEverySlopeForTheTarget() throws IOException {
    Path file = folder.resolve("some.json");
    Measurements.write(
        file, new Measurements.File(new MeasurementRun("abc", "now", "17", 4, "slopes"), rows()));
    assertThat(refused("target", file.toString(), "--out", folder.toString()))
        .contains("three sizes or more are wanted of nodes");
    assertThat(files()).containsExactly(file);
  }

  @Test
  void theFileOfThePageGivesThePagesTable() throws IOException {
    Path page = Path.of("../docs/capacity");
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    assertThat(
            CapacityProgram.run(
                new String[] {
                  "target",
                  page.resolve("control.json").toString(),
                  page.resolve("work.json").toString(),
                  "--out",
                  folder.toString()
                },
                new PrintStream(said, true, UTF_8)))
        .isEqualTo(0);
    assertThat(Files.readString(folder.resolve("target.md")))
        .isEqualTo(Files.readString(page.resolve("target.md")));
  }

  @Test
  void keepsTheOldFileIntactWhenANewOneFails() throws IOException {
    Path file = folder.resolve("old.json");
    Files.writeString(file, "old");
    Path blocked = folder.resolve("folder.json");
    Files.createDirectory(blocked);
    Files.writeString(blocked.resolve("inside"), "kept");
    assertThrows(IOException.class, () -> Measurements.writeWhole(blocked, "new"));
    assertThat(files()).containsExactly(file, blocked);
    assertThat(Files.readString(file)).isEqualTo("old");
  }
}

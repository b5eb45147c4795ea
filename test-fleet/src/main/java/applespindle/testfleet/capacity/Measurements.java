package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Rows of figures and where they come from; a file of them is written completely or not at all. */
final class Measurements {
  /** Where, when and on what the figures were made. */
  record MeasurementRun(String commit, String at, String java, int processors, String command) {}

  /** One figure at one size: the median, least and most of its runs. */
  record Row(
      String experiment,
      String role,
      String metric,
      String unit,
      String variable,
      double size,
      double median,
      double least,
      double most,
      int runs) {}

  record File(MeasurementRun made, List<Row> rows) {}

  /** A result file that can not be used, and why. */
  static final class UnusableMeasurementsException extends Exception {
    UnusableMeasurementsException(String why) {
      super(why);
    }
  }

  /**
   * The figure against the size: y = offset + slope x, and the exponent of a power law through the
   * sizes above 0, which tells a square from a line.
   */
  record Slope(double offset, double slope, double exponent) {}

  private record Point(
      String experiment, String role, String metric, String unit, String variable, double size) {}

  private final Map<Point, List<Double>> values = new LinkedHashMap<>();

  void add(
      String experiment,
      String role,
      String metric,
      String unit,
      String variable,
      double size,
      double value) {
    values
        .computeIfAbsent(
            new Point(experiment, role, metric, unit, variable, size), unseen -> new ArrayList<>())
        .add(value);
  }

  List<Row> rows() {
    return values.entrySet().stream()
        .map(
            each -> {
              Point point = each.getKey();
              List<Double> sorted = each.getValue().stream().sorted().toList();
              return new Row(
                  point.experiment,
                  point.role,
                  point.metric,
                  point.unit,
                  point.variable,
                  point.size,
                  sorted.get(sorted.size() / 2),
                  sorted.get(0),
                  sorted.get(sorted.size() - 1),
                  sorted.size());
            })
        .toList();
  }

  static Map<String, List<Row>> bySeries(List<Row> rows) {
    Map<String, List<Row>> series = new LinkedHashMap<>();
    rows.forEach(
        row ->
            series
                .computeIfAbsent(
                    row.experiment() + " | " + row.role() + " | " + row.metric(),
                    unseen -> new ArrayList<>())
                .add(row));
    return series;
  }

  static Slope slope(List<Row> series) {
    double[] line =
        line(
            series.stream().mapToDouble(Row::size).toArray(),
            series.stream().mapToDouble(Row::median).toArray());
    List<Row> positive = series.stream().filter(row -> row.size() > 0 && row.median() > 0).toList();
    double exponent =
        positive.size() < 2
            ? Double.NaN
            : line(
                positive.stream().mapToDouble(row -> Math.log(row.size())).toArray(),
                positive.stream().mapToDouble(row -> Math.log(row.median())).toArray())[1];
    return new Slope(line[0], line[1], exponent);
  }

  /** Least squares: offset and slope. */
  private static double[] line(double[] x, double[] y) {
    double meanX = java.util.Arrays.stream(x).average().orElse(0);
    double meanY = java.util.Arrays.stream(y).average().orElse(0);
    double above = 0;
    double below = 0;
    for (int index = 0; index < x.length; index++) {
      above += (x[index] - meanX) * (y[index] - meanY);
      below += (x[index] - meanX) * (x[index] - meanX);
    }
    double slope = below == 0 ? 0 : above / below;
    return new double[] {meanY - slope * meanX, slope};
  }

  static String csv(List<Row> rows) {
    StringBuilder text =
        new StringBuilder("experiment,role,metric,unit,variable,size,median,least,most,runs\n");
    rows.forEach(
        row ->
            text.append(
                    String.join(
                        ",",
                        row.experiment(),
                        row.role(),
                        row.metric(),
                        row.unit(),
                        row.variable(),
                        number(row.size()),
                        number(row.median()),
                        number(row.least()),
                        number(row.most()),
                        Integer.toString(row.runs())))
                .append('\n'));
    return text.toString();
  }

  static String number(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e12) {
      return Long.toString((long) value);
    }
    return String.format(Locale.ROOT, Math.abs(value) < 1 ? "%.5f" : "%.2f", value);
  }

  /** Writes the figures of a run as JSON and as a table. */
  static void write(Path folder, String name, String commit, String command, List<Row> rows)
      throws IOException {
    var made =
        new MeasurementRun(
            commit,
            Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(),
            System.getProperty("java.version"),
            Runtime.getRuntime().availableProcessors(),
            command);
    write(folder.resolve(name + ".json"), new File(made, rows));
    writeWhole(folder.resolve(name + ".csv"), csv(rows));
  }

  static void write(Path file, File measured) throws IOException {
    try {
      writeWhole(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(measured));
    } catch (JsonProcessingException fault) {
      throw new IOException(fault);
    }
  }

  /** To a file beside it first, so that a file of that name is never half-written. */
  static void writeWhole(Path file, byte[] bytes) throws IOException {
    Path folder = file.toAbsolutePath().getParent();
    Files.createDirectories(folder);
    Path unfinished =
        folder.resolve(file.getFileName() + "." + ProcessHandle.current().pid() + ".unfinished");
    try {
      Files.write(unfinished, bytes);
      Files.move(
          unfinished, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    } finally {
      Files.deleteIfExists(unfinished);
    }
  }

  static void writeWhole(Path file, String text) throws IOException {
    writeWhole(file, text.getBytes(UTF_8));
  }

  static File read(Path file) throws UnusableMeasurementsException {
    File read;
    try {
      JsonNode tree = JSON.readTree(Files.readAllBytes(file));
      read = JSON.treeToValue(tree, File.class);
    } catch (JsonProcessingException broken) {
      throw new UnusableMeasurementsException(
          file + " is not a result file: " + broken.getOriginalMessage());
    } catch (IOException unreadable) {
      throw new UnusableMeasurementsException(file + " can not be read");
    }
    if (read == null
        || read.made() == null
        || read.made().commit() == null
        || read.rows() == null
        || read.rows().isEmpty()) {
      throw new UnusableMeasurementsException(
          file + " is not a result file: made and rows are wanted");
    }
    for (Row row : read.rows()) {
      if (row == null
          || row.experiment() == null
          || row.role() == null
          || row.metric() == null
          || row.unit() == null
          || row.variable() == null
          || row.runs() < 1
          || !Double.isFinite(row.size())
          || !Double.isFinite(row.median())) {
        throw new UnusableMeasurementsException(
            file + " is not a result file: a row lacks a field or a figure");
      }
    }
    return read;
  }
}

package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.Measurements.Row;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.data.xy.YIntervalSeries;
import org.jfree.data.xy.YIntervalSeriesCollection;

/**
 * One picture for each experiment and unit, both axes logarithmic: a line of slope 1 grows with the
 * size, of 2 with its square.
 */
final class Plots {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 440;

  /** Rows of one picture by its file name. */
  static Map<String, List<Row>> pictures(List<Row> rows) {
    Map<String, List<Row>> pictures = new LinkedHashMap<>();
    for (Row row : rows) {
      if (row.size() > 0 && row.median() > 0) {
        String unit = row.unit().replaceAll("[^A-Za-z0-9]+", "-").replaceAll("^-|-$", "");
        pictures
            .computeIfAbsent(row.experiment() + "-" + unit + ".png", unseen -> new ArrayList<>())
            .add(row);
      }
    }
    return pictures;
  }

  static void write(Path folder, String prefix, List<Row> rows) throws IOException {
    System.setProperty("java.awt.headless", "true");
    for (Map.Entry<String, List<Row>> picture : pictures(rows).entrySet()) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      ChartUtils.writeChartAsPNG(bytes, chart(picture.getValue()), WIDTH, HEIGHT);
      Measurements.writeWhole(folder.resolve(prefix + picture.getKey()), bytes.toByteArray());
    }
  }

  private static JFreeChart chart(List<Row> rows) {
    YIntervalSeriesCollection data = new YIntervalSeriesCollection();
    Map<String, YIntervalSeries> series = new LinkedHashMap<>();
    for (Row row : rows) {
      double least = Math.max(row.least(), row.median() / 100);
      series
          .computeIfAbsent(row.role() + ": " + row.metric(), YIntervalSeries::new)
          .add(row.size(), row.median(), least, row.most());
    }
    series.values().forEach(data::addSeries);
    Row first = rows.get(0);
    JFreeChart chart =
        ChartFactory.createScatterPlot(
            first.experiment(),
            first.variable(),
            first.unit(),
            data,
            PlotOrientation.VERTICAL,
            true,
            false,
            false);
    XYPlot plot = chart.getXYPlot();
    plot.setDomainAxis(new LogAxis(first.variable()));
    plot.setRangeAxis(new LogAxis(first.unit()));
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    XYErrorRenderer renderer = new XYErrorRenderer();
    renderer.setDrawXError(false);
    renderer.setDefaultLinesVisible(true);
    plot.setRenderer(renderer);
    return chart;
  }

  private Plots() {}
}

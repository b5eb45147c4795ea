package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The packages of the logic depend on each other in one direction only. */
final class PackageLayersTest {
  private static final String ROOT = "applespindle.corelogic.";
  private static final Path SOURCES = Path.of("src/main/java/applespindle/corelogic");

  /** From the bottom up: a package may use those before it. */
  private static final List<String> LAYERS =
      List.of(
          "common",
          "constants",
          "memory",
          "api",
          "log",
          "metadata",
          "duty",
          "protocol",
          "environment",
          "node",
          "replication",
          "configuration",
          "membership",
          "changefeed",
          "worker",
          "live",
          "usage",
          "scaling",
          "batch",
          "dataplane",
          "storage",
          "controlplane",
          "edge");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("applespindle.corelogic");

  @Test
  void everyPackageIsALayer() {
    Set<String> packages = new TreeSet<>();
    for (JavaClass each : CLASSES) {
      packages.add(each.getPackageName());
    }
    Set<String> layers = new TreeSet<>();
    LAYERS.forEach(layer -> layers.add(ROOT + layer));
    assertThat(packages).isEqualTo(layers);
  }

  @Test
  void noLayerDependsOnAHigherOne() {
    for (int index = 0; index + 1 < LAYERS.size(); index++) {
      String[] higher =
          LAYERS.subList(index + 1, LAYERS.size()).stream()
              .map(layer -> ROOT + layer)
              .toArray(String[]::new);
      noClasses()
          .that()
          .resideInAPackage(ROOT + LAYERS.get(index))
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(higher)
          .check(CLASSES);
    }
  }

  @Test
  void everyPackageSaysWhatBelongsThere() throws IOException {
    for (String layer : LAYERS) {
      Path info = SOURCES.resolve(layer).resolve("package-info.java");
      assertWithMessage(info.toString()).that(Files.exists(info)).isTrue();
      assertWithMessage(info.toString()).that(Files.readString(info)).startsWith("/**");
    }
  }
}

package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class StartupOptionsTest {
  private static final String[] GOOD = {
    "--name",
    "core-1",
    "--zone",
    "a",
    "--http",
    "127.0.0.1:7106",
    "--peer",
    "127.0.0.1:7103",
    "--data",
    "folder",
    "--seeds",
    "127.0.0.1:7103",
    "127.0.0.1:7104"
  };

  @Test
  void takesFlags() {
    StartupOptions.Read read = StartupOptions.read("control-plane", "core", GOOD);
    assertThat(read.faults()).isEmpty();
    assertThat(read.startup().coreFounders())
        .containsExactly("127.0.0.1:7103", "127.0.0.1:7104")
        .inOrder();
  }

  @Test
  void listensWherePeersReachItUnlessAnotherAddressIsGiven() {
    assertThat(StartupOptions.read("control-plane", "core", GOOD).startup().listenAddress())
        .isEqualTo("127.0.0.1:7103");
    String[] relayed = Arrays.copyOf(GOOD, GOOD.length + 2);
    relayed[GOOD.length] = "--listen";
    relayed[GOOD.length + 1] = "127.0.0.1:7203";
    StartupOptions startup = StartupOptions.read("control-plane", "core", relayed).startup();
    assertThat(startup.listenAddress()).isEqualTo("127.0.0.1:7203");
    assertThat(startup.peer()).isEqualTo("127.0.0.1:7103");
  }

  @Test
  void namesEveryFaultWithItsField() {
    String[] flags = {
      "--name",
      " ",
      "--http",
      "localhost:1",
      "--peer",
      "127.0.0.1:7103",
      "--seeds",
      "x",
      "--role",
      "storage"
    };
    StartupOptions.Read read = StartupOptions.read("data-plane", null, flags);
    assertThat(read.faults().stream().map(ApiError.Field::path))
        .containsExactly("$.http", "$.name", "$.seeds[0].<list element>", "$.zone");
    StartupOptions.Read noData =
        StartupOptions.read(
            "data-plane",
            null,
            new String[] {
              "--name",
              "s",
              "--zone",
              "a",
              "--http",
              "127.0.0.1:1",
              "--peer",
              "127.0.0.1:2",
              "--seeds",
              "127.0.0.1:3",
              "--role",
              "storage"
            });
    assertThat(noData.faults().stream().map(ApiError.Field::path)).containsExactly("$.data");
  }
}

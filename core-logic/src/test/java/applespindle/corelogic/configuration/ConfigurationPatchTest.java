package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationPatchTest {
  private static final String PRESENT =
      """
      {"number": 7, "pools": {"a": {"x": 1}, "b": {"x": 2}},
       "routes": [{"name": "r1", "host": "one"}, {"name": "r2", "host": "two"}], "more": [1]}
      """;

  private static ConfigurationPatch.ParsedPatch read(String patch) {
    return ConfigurationPatch.parse(
        ConfigurationFormat.OWN, patch.replace('\'', '"').getBytes(UTF_8));
  }

  private static ObjectNode present() {
    return (ObjectNode) Json.tree(PRESENT.getBytes(UTF_8));
  }

  private static ConfigurationPatch.PatchResult applied(String patch) {
    return read(patch).patch().applyTo(present());
  }

  @Test
  void replacesInPlaceAddsBehindTheLastAndRemoves() {
    ObjectNode whole =
        applied(
                "{'number': 9, 'upsert': {'routes': [{'name': 'r3'}, {'name': 'r1', 'host':"
                    + " 'new'}], 'pools': {'c': {}}}, 'remove': {'routes': ['r2'], 'pools':"
                    + " ['a']}}")
            .configuration();

    assertThat(whole.toString())
        .isEqualTo(
            "{'number':9,'pools':{'b':{'x':2},'c':{}},'routes':[{'name':'r1','host':'new'},{'name':'r3'}],'more':[1]}"
                .replace('\'', '"'));
  }

  @Test
  void leavesWhatItBuildsOnAsItIs() {
    ObjectNode present = present();
    read("{'number': 9, 'remove': {'routes': ['r1', 'r2']}}").patch().applyTo(present);
    assertThat(present).isEqualTo(present());
  }

  @Test
  void beforeTheFirstConfigurationAllOfItIsAdded() {
    ObjectNode whole =
        read("{'number': 1, 'upsert': {'routes': [{'name': 'r'}], 'pools': {'a': {}}}}")
            .patch()
            .applyTo(Json.JSON.createObjectNode())
            .configuration();
    assertThat(whole.path("routes")).hasSize(1);
    assertThat(whole.path("pools")).hasSize(1);
  }

  @Test
  void changesOfNothingButTheRevisionAreAllowed() {
    assertThat(applied("{'number': 9}").configuration().path("number").asLong()).isEqualTo(9);
    assertThat(applied("{'number': 9, 'upsert': null, 'remove': {}}").errors()).isEmpty();
  }

  @Test
  void namesWhatIsWrongByItsPath() {
    assertFault("{'upsert': {}}", "$.number");
    assertFault("{'number': 1.5}", "$.number");
    assertFault("{'number': 0}", "$.number");
    assertFault("{'number': '9'}", "$.number");
    assertFault("[]", "$");
    assertFault("{'number': 9} {}", "$");
    assertFault("{'number': 9, 'number': 10}", "$");
    assertFault("{'number': 9, 'upsert': []}", "$.upsert");
    assertFault("{'number': 9, 'remove': 3}", "$.remove");
    assertFault("{'number': 9, 'upsert': {'more': []}}", "$.upsert.more");
    assertFault("{'number': 9, 'remove': {'more': []}}", "$.remove.more");
    assertFault("{'number': 9, 'upsert': {'routes': {}}}", "$.upsert.routes");
    assertFault("{'number': 9, 'upsert': {'pools': []}}", "$.upsert.pools");
    assertFault("{'number': 9, 'upsert': {'routes': [{}]}}", "$.upsert.routes[0].name");
    assertFault("{'number': 9, 'upsert': {'routes': [3]}}", "$.upsert.routes[0].name");
    assertFault(
        "{'number': 9, 'upsert': {'routes': [{'name': 'r'}, {'name': 'r'}]}}",
        "$.upsert.routes[1].name");
    assertFault("{'number': 9, 'remove': {'routes': 'r1'}}", "$.remove.routes");
    assertFault("{'number': 9, 'remove': {'routes': [1]}}", "$.remove.routes[0]");
    assertFault("{'number': 9, 'remove': {'routes': ['r1', 'r1']}}", "$.remove.routes[1]");
    assertFault(
        "{'number': 9, 'upsert': {'routes': [{'name': 'r1'}]}, 'remove': {'routes': ['r1']}}",
        "$.remove.routes[0]");
    assertFault(
        "{'number': 9, 'upsert': {'pools': {'a': {}}}, 'remove': {'pools': ['a']}}",
        "$.remove.pools[0]");
  }

  @Test
  void whatIsToBeRemovedMustBeThere() {
    List<ApiError.Field> faults =
        applied("{'number': 9, 'remove': {'routes': ['r1', 'r9'], 'pools': ['z']}}").errors();
    assertThat(faults.stream().map(ApiError.Field::path))
        .containsExactly("$.remove.routes[1]", "$.remove.pools[0]");
  }

  private static void assertFault(String patch, String path) {
    ConfigurationPatch.ParsedPatch read = read(patch);
    assertWithMessage(patch).that(read.patch()).isNull();
    assertWithMessage(patch)
        .that(read.errors().stream().map(ApiError.Field::path).toList())
        .containsExactly(path);
  }
}

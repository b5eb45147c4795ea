package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a patch is parsed, and what it does to a document. */
class ConfigurationPatchTest {
  private static final String BASE =
      """
      {"number": 7, "pools": {"a": {"x": 1}, "b": {"x": 2}},
       "routes": [{"name": "r1", "host": "one"}, {"name": "r2", "host": "two"}], "more": [1]}
      """;

  private static ConfigurationPatch.ParsedPatch parse(String patch) {
    return ConfigurationPatch.parse(
        ConfigurationFormat.OWN, patch.replace('\'', '"').getBytes(UTF_8));
  }

  private static ObjectNode base() {
    return (ObjectNode) Json.tree(BASE.getBytes(UTF_8));
  }

  private static ConfigurationPatch.PatchResult apply(String patch) {
    return parse(patch).patch().applyTo(base());
  }

  @Test
  void replacesInPlaceAppendsAndRemoves() {
    ObjectNode result =
        apply(
                "{'number': 9, 'upsert': {'routes': [{'name': 'r3'}, {'name': 'r1', 'host':"
                    + " 'new'}], 'pools': {'c': {}}}, 'remove': {'routes': ['r2'], 'pools':"
                    + " ['a']}}")
            .configuration();

    assertThat(result.toString())
        .isEqualTo(
            "{'number':9,'pools':{'b':{'x':2},'c':{}},'routes':[{'name':'r1','host':'new'},{'name':'r3'}],'more':[1]}"
                .replace('\'', '"'));
  }

  @Test
  void doesNotModifyTheBaseDocument() {
    ObjectNode base = base();
    parse("{'number': 9, 'remove': {'routes': ['r1', 'r2']}}").patch().applyTo(base);
    assertThat(base).isEqualTo(base());
  }

  @Test
  void appliesToAnEmptyDocument() {
    ObjectNode result =
        parse("{'number': 1, 'upsert': {'routes': [{'name': 'r'}], 'pools': {'a': {}}}}")
            .patch()
            .applyTo(Json.JSON.createObjectNode())
            .configuration();
    assertThat(result.path("routes")).hasSize(1);
    assertThat(result.path("pools")).hasSize(1);
  }

  @Test
  void acceptsAChangeOfTheRevisionOnly() {
    assertThat(apply("{'number': 9}").configuration().path("number").asLong()).isEqualTo(9);
    assertThat(apply("{'number': 9, 'upsert': null, 'remove': {}}").errors()).isEmpty();
  }

  @Test
  void reportsInvalidFieldsByPath() {
    assertRejects("{'upsert': {}}", "$.number");
    assertRejects("{'number': 1.5}", "$.number");
    assertRejects("{'number': 0}", "$.number");
    assertRejects("{'number': '9'}", "$.number");
    assertRejects("[]", "$");
    assertRejects("{'number': 9} {}", "$");
    assertRejects("{'number': 9, 'number': 10}", "$");
    assertRejects("{'number': 9, 'upsert': []}", "$.upsert");
    assertRejects("{'number': 9, 'remove': 3}", "$.remove");
    assertRejects("{'number': 9, 'upsert': {'more': []}}", "$.upsert.more");
    assertRejects("{'number': 9, 'remove': {'more': []}}", "$.remove.more");
    assertRejects("{'number': 9, 'upsert': {'routes': {}}}", "$.upsert.routes");
    assertRejects("{'number': 9, 'upsert': {'pools': []}}", "$.upsert.pools");
    assertRejects("{'number': 9, 'upsert': {'routes': [{}]}}", "$.upsert.routes[0].name");
    assertRejects("{'number': 9, 'upsert': {'routes': [3]}}", "$.upsert.routes[0].name");
    assertRejects(
        "{'number': 9, 'upsert': {'routes': [{'name': 'r'}, {'name': 'r'}]}}",
        "$.upsert.routes[1].name");
    assertRejects("{'number': 9, 'remove': {'routes': 'r1'}}", "$.remove.routes");
    assertRejects("{'number': 9, 'remove': {'routes': [1]}}", "$.remove.routes[0]");
    assertRejects("{'number': 9, 'remove': {'routes': ['r1', 'r1']}}", "$.remove.routes[1]");
    assertRejects(
        "{'number': 9, 'upsert': {'routes': [{'name': 'r1'}]}, 'remove': {'routes': ['r1']}}",
        "$.remove.routes[0]");
    assertRejects(
        "{'number': 9, 'upsert': {'pools': {'a': {}}}, 'remove': {'pools': ['a']}}",
        "$.remove.pools[0]");
  }

  @Test
  void rejectsTheRemovalOfMissingItems() {
    List<ApiError.Field> errors =
        apply("{'number': 9, 'remove': {'routes': ['r1', 'r9'], 'pools': ['z']}}").errors();
    assertThat(errors.stream().map(ApiError.Field::path))
        .containsExactly("$.remove.routes[1]", "$.remove.pools[0]");
  }

  private static void assertRejects(String patch, String path) {
    ConfigurationPatch.ParsedPatch parsed = parse(patch);
    assertWithMessage(patch).that(parsed.patch()).isNull();
    assertWithMessage(patch)
        .that(parsed.errors().stream().map(ApiError.Field::path).toList())
        .containsExactly(path);
  }
}

package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** How operators of a deployment write a configuration, as far as changing it by names needs it. */
public interface ConfigurationFormat {
  /** How a collection of named items is written: as a list, or as an object by name. */
  enum Collection {
    LIST,
    BY_NAME
  }

  /** Either the bytes of the bundle that a configuration stands for, or what is wrong with it. */
  record ParsedConfiguration(byte[] configuration, List<ApiError.Field> errors) {}

  /** The field that holds the revision. */
  String revisionField();

  /** The collections of named items, by field. */
  Map<String, Collection> collections();

  /**
   * The configuration as its operator wrote it; null if the bundle does not tell.
   *
   * @param configuration the exact bytes that are in force
   */
  ObjectNode sourceOf(byte[] bundle);

  /** Reads and checks a configuration whole. */
  ParsedConfiguration parse(ObjectNode whole);

  /** The product's own: a {@link RoutingConfiguration} as JSON. */
  ConfigurationFormat OWN =
      new ConfigurationFormat() {
        @Override
        public String revisionField() {
          return "number";
        }

        @Override
        public Map<String, Collection> collections() {
          return Map.of(
              "pools", Collection.BY_NAME, "rules", Collection.LIST, "routes", Collection.LIST);
        }

        @Override
        public ObjectNode sourceOf(byte[] bundle) {
          return (ObjectNode) Json.tree(bundle);
        }

        @Override
        public ParsedConfiguration parse(ObjectNode whole) {
          byte[] bytes = Json.bytes(whole);
          return ConfigurationValidator.validate(bytes).error()
                  instanceof ApiError.InvalidConfiguration invalid
              ? new ParsedConfiguration(null, invalid.fields())
              : new ParsedConfiguration(bytes, List.of());
        }
      };
}

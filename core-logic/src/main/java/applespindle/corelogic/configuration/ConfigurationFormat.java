package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * The document format in which the operators of a deployment write a configuration, as far as a
 * {@link ConfigurationPatch} needs it. A deployment may have a format of its own that is translated
 * into a {@link RoutingConfiguration}. Implementations are stateless.
 */
public interface ConfigurationFormat {
  /** How a collection of named items is written: as a list, or as an object by name. */
  enum Collection {
    LIST,
    BY_NAME
  }

  /** Either the bytes of a valid configuration and no errors, or null and what is wrong with it. */
  record ParsedConfiguration(byte[] configuration, List<ApiError.Field> errors) {}

  /** The name of the field that holds the revision. */
  String revisionField();

  /** The collections of named items, by the name of their field. */
  Map<String, Collection> collections();

  /**
   * Returns the document that a configuration was made from; null if it doesn't contain it.
   *
   * @param configuration the exact bytes that are in force
   */
  ObjectNode sourceOf(byte[] configuration);

  /** Parses and validates a complete document. */
  ParsedConfiguration parse(ObjectNode document);

  /**
   * Returns the paths of the fields in an operator's document that are not known and thereby have
   * no effect, without positions in lists; empty where unknown fields are refused.
   *
   * @param configuration the exact bytes that are in force
   */
  default List<String> unknownFields(byte[] configuration) {
    return List.of();
  }

  /** The format of the product itself: a {@link RoutingConfiguration} as JSON. */
  ConfigurationFormat OWN =
      new ConfigurationFormat() {
        @Override
        public String revisionField() {
          return "number";
        }

        @Override
        public Map<String, Collection> collections() {
          return Map.of(
              "pools",
              Collection.BY_NAME,
              "rules",
              Collection.LIST,
              "routes",
              Collection.LIST,
              "tenants",
              Collection.LIST);
        }

        @Override
        public ObjectNode sourceOf(byte[] configuration) {
          return (ObjectNode) Json.tree(configuration);
        }

        @Override
        public ParsedConfiguration parse(ObjectNode document) {
          byte[] bytes = Json.bytes(document);
          return ConfigurationValidator.validate(bytes).error()
                  instanceof ApiError.InvalidConfiguration invalid
              ? new ParsedConfiguration(null, invalid.fields())
              : new ParsedConfiguration(bytes, List.of());
        }
      };
}

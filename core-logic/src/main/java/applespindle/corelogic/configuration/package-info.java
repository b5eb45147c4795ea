/**
 * The routing configuration: its values, validation, changes, and the compiled forms that requests
 * are matched against.
 *
 * <p>{@link applespindle.corelogic.configuration.RoutingConfiguration} holds the values of one
 * revision. {@link applespindle.corelogic.configuration.ConfigurationValidator} is the only way to
 * read one from JSON: it verifies the signature, checks each field by {@link
 * applespindle.corelogic.api.InputReader} and then what several fields show together. {@link
 * applespindle.corelogic.configuration.ConfigurationPatch} changes a document in the format of the
 * deployment, {@link applespindle.corelogic.configuration.ConfigurationFormat}, and the result is
 * validated as a complete configuration. Edges compile a valid configuration into {@link
 * applespindle.corelogic.configuration.CompiledRules} for live requests and {@link
 * applespindle.corelogic.configuration.RouteTable} for proxied ones.
 *
 * <p>Invariants: the compiled forms are made of valid configurations only; all types are immutable;
 * the JSON of a revision is never rewritten, as signatures cover its exact bytes. Which revision is
 * in force is decided by the control plane, outside this package.
 */
package applespindle.corelogic.configuration;

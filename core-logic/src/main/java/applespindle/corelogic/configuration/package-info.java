/**
 * The routing configuration: its validation, patches, and the compiled form that requests are
 * matched against. Immutable values; who owns the configuration in force is the control plane.
 */
package applespindle.corelogic.configuration;

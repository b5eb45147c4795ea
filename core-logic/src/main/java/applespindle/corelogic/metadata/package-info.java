/**
 * The values that the control plane replicates, and the names of their keys. Immutable; their JSON
 * form is stored and sent between versions, so a component's name never changes and unknown fields
 * are ignored.
 */
package applespindle.corelogic.metadata;

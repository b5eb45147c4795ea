/**
 * The messages between processes. Immutable; the adapters carry each as one SBE message of the
 * schema, whose names stay.
 */
package applespindle.corelogic.protocol;

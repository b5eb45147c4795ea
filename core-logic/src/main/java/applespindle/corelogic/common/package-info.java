/**
 * Helpers for JSON, HTTP syntax and hashing that know nothing about this system.
 *
 * <p>All JSON of the system goes through {@link applespindle.corelogic.common.Json}, so that its
 * settings are the same everywhere and {@link applespindle.corelogic.common.JsonSizeObserver} sees
 * the documents. The hashes of {@link applespindle.corelogic.common.RendezvousHashing} are the same
 * in all processes and versions.
 *
 * <p>Stateless apart from the observer of each thread.
 */
package applespindle.corelogic.common;

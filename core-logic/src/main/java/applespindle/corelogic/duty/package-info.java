/**
 * The replicated state of the duties at the platform: who holds a duty under which fencing token,
 * and the intents that the holder has written down before it acts. Also the interfaces through
 * which a duty gets what it is to report or to order. Immutable data only: how a duty is claimed,
 * and when a call is made, is decided in the package {@code controlplane}.
 *
 * <p>Invariants: the JSON form of the records is stored in logs, so names never change and unknown
 * fields are ignored; the fencing token of a key never falls; the content of an intent never
 * changes.
 */
package applespindle.corelogic.duty;

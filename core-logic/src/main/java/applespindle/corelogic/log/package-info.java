/**
 * The values of replicated logs: entries, the epochs of the leaders that append them, and the
 * records that a process writes to its disk.
 *
 * <p>What belongs here are values and functions of them; the package keeps no state. A {@link
 * applespindle.corelogic.log.LogEntry} is what a leader replicates, and {@link
 * applespindle.corelogic.log.LogEntries} holds the functions of a list of them. A {@link
 * applespindle.corelogic.log.LogRecord} is what a process writes to its disk: entries, and what it
 * has promised. {@link applespindle.corelogic.log.DeflatedEvents} compresses events.
 *
 * <p>Invariants: the entries of a log are contiguous by sequence and their epochs never fall; an
 * entry is identified by its sequence and epoch. The order of components and constants is part of
 * the stored form.
 */
package applespindle.corelogic.log;

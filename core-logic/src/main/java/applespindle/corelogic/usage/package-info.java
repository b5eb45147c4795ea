/**
 * Counts the requests that workers began for each tenant, in windows of true time.
 *
 * <p>At an edge, {@link applespindle.corelogic.usage.UsageRecorder} owns the counts by slots of
 * monotonic time, {@link applespindle.corelogic.usage.TrueTimeOffset} the offset to true time, and
 * {@link applespindle.corelogic.usage.UsageReporter} sends both as cumulative counts of windows. At
 * the control plane, {@link applespindle.corelogic.usage.UsageCollector} owns what edges reported
 * to the present holder of the duty and decides when a window is closed, by the {@link
 * applespindle.corelogic.usage.TrueTimeEstimator}.
 *
 * <p>Invariants: a report replaces what the same process reported of a window before, so that a
 * repeated or reordered report never counts twice; nothing here is stored on disk. Everything runs
 * on the logic thread.
 */
package applespindle.corelogic.usage;

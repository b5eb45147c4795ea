/**
 * How many workers a pool is to have in each zone, by the demand that the edges report.
 *
 * <p>At an edge, {@link applespindle.corelogic.scaling.DemandSampler} measures the calls that are
 * open at workers and {@link applespindle.corelogic.scaling.DemandReporter} reports them. At the
 * holder of the scale duty, {@link applespindle.corelogic.scaling.DemandTable} keeps the last
 * reports, {@link applespindle.corelogic.scaling.ScalePolicy} decides, and {@link
 * applespindle.corelogic.scaling.DemandScaleAdvisor} brings both together with the workers that are
 * listed.
 *
 * <p>Invariants: without demand from the edges nothing is ordered; a number is always within the
 * bounds of the pool; all state is lost with the holdership, and the next holder starts from the
 * workers that are there. Everything runs on the logic thread.
 */
package applespindle.corelogic.scaling;

/**
 * What CI asks of reports and pages: known failures, and figures without a finished measurement.
 */
package applespindle.testfleet.ci;

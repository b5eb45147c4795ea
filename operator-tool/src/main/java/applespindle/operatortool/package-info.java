/**
 * The command-line tool of the operators: signs and sends configurations, marks workers and storage
 * nodes, reads the status.
 */
package applespindle.operatortool;

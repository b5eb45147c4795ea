/**
 * The operators' command-line tool. It signs and sends configurations, submits batches, marks
 * workers and storage nodes, and reads the status of single processes and of the tier. It talks to
 * the servers by HTTP only.
 */
package applespindle.operatortool;

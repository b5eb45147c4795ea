/**
 * What connects the logic to a real process: the log on disk, the messages between nodes, HTTP for
 * status and operators, and the exchanges with workers. One event loop a node.
 */
package applespindle.adapters;

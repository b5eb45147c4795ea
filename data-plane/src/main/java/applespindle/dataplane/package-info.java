/**
 * The HTTP interface of an edge to its clients: reads requests and batches, and writes the
 * responses that the logic passes on.
 */
package applespindle.dataplane;

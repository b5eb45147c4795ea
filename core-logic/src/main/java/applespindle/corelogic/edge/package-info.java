/** The edge: the node that takes clients' requests and batches, wired from the packages below. */
package applespindle.corelogic.edge;

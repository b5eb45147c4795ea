/** The HTTP interface of a core node to its operators and to the list of workers. */
package applespindle.controlplane;

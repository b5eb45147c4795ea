/**
 * The account of the heap that the work of a process takes: one limit for the process, and a child
 * for each holder. Nothing else reads the size of the heap.
 */
package applespindle.corelogic.memory;

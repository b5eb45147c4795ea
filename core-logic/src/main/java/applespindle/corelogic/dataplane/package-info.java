/**
 * What edges and storage nodes share: their lease at the control plane and the metadata they
 * follow.
 */
package applespindle.corelogic.dataplane;

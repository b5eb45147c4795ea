/**
 * The control plane: its node, the keys that it leads, and one manager for each kind of key. A
 * command runs only at a leader in contact with a quorum, and gets one response.
 */
package applespindle.corelogic.controlplane;

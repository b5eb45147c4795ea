/**
 * The program of a control plane process and its HTTP interface.
 *
 * <p>{@link applespindle.controlplane.ControlPlane} starts a {@code ControlPlaneNode}, whose logic
 * and state belong to {@code applespindle.corelogic.controlplane}; {@code
 * ControlPlaneHttpInterface} turns requests of operators and the platform into commands, and {@code
 * WorkerListReplacement} collects the responses to those of one request. Invariant: nothing here
 * decides anything that the leader of a key has to decide, and every request gets one response.
 */
package applespindle.controlplane;

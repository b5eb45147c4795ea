/**
 * What one edge knows of the workers, and the choice of a worker for a request.
 *
 * <p>{@link applespindle.corelogic.worker.WorkerRegistry} owns one {@link
 * applespindle.corelogic.worker.WorkerState} for each listed worker and is the entry point:
 * dispatchers record there when a call starts, shows activity, and ends. It uses {@code
 * WorkerLoadPoller} to poll workers whose slots are not listed, and {@code OutlierDetection} to
 * eject failing workers. {@link applespindle.corelogic.worker.PeerLoadReporter} sends this edge's
 * load to the other edges of the zone; their reports come in through the registry. {@link
 * applespindle.corelogic.worker.WorkerSelection} reads all of it to choose the worker of a proxied
 * request.
 *
 * <p>Requests themselves, their queues and retries belong to the packages {@code live} and {@code
 * batch}. Invariants: each recorded start of a call is followed by one recorded end, also if the
 * worker is listed no more; all state belongs to one edge, is lost with it, and is replicated
 * nowhere; everything runs on the logic thread.
 */
package applespindle.corelogic.worker;

/**
 * Live requests at one edge, from admission to the end of the response.
 *
 * <p>There are two kinds. Requests in this product's own format ({@link
 * applespindle.corelogic.live.LiveRequest}) are admitted by {@link
 * applespindle.corelogic.live.LiveRequestDispatcher}, wait in {@code LiveRequestQueues} for a free
 * slot, and are sent to a worker chosen by {@code PrefixAffinitySelection}. Requests in the
 * workers' format are admitted by {@link applespindle.corelogic.live.ProxyDispatcher}, are sent
 * immediately to a worker chosen by {@link applespindle.corelogic.worker.WorkerSelection}, and are
 * forwarded unchanged; {@code ProxiedCallMonitor} checks the open ones for expiry and, with {@code
 * SilenceDetector}, for workers that no longer respond. In both, one object holds the request over
 * all its attempts ({@code LiveRequestCall}, {@code ProxiedRequestCall}), and one each attempt at a
 * worker ({@code LiveWorkerAttempt}, {@code WorkerAttempt}). {@link
 * applespindle.corelogic.live.StreamText} assembles the text of proxied streams for batch items.
 *
 * <p>Invariants: each request ends once; at most one of its attempts is under way; a response that
 * promises that a request never ran is sent only if no worker may have run it; and each call
 * recorded in {@link applespindle.corelogic.worker.WorkerRegistry} as started is recorded as ended.
 * All state is in memory and lost with the edge. Everything runs on the logic thread. What is known
 * of workers belongs to the package {@code worker}, durable work to {@code batch}.
 */
package applespindle.corelogic.live;

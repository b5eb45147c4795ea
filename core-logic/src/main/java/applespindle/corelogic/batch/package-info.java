/**
 * Batches: many items that are accepted together and run at workers when these have free capacity.
 * A batch holds prompts, or proxied requests that are passed to workers unread. What belongs here
 * is the logic of batches at an edge; replication of their logs and the messages are elsewhere.
 *
 * <p>Submission side, at the edge that a client calls: {@link
 * applespindle.corelogic.batch.BatchSubmission} is the request as the client wrote it, {@link
 * applespindle.corelogic.batch.SubmissionReader} turns it into the event that accepts the batch,
 * and {@link applespindle.corelogic.batch.SubmissionsInProgress} and {@link
 * applespindle.corelogic.batch.PendingSubmissions} hold the requests without a response.
 *
 * <p>Leader side, at the one edge that leads the batch's log: {@link
 * applespindle.corelogic.batch.BatchLeader} accepts and ends the batch. Its parts append to the log
 * ({@code BatchLog}), assign ranges ({@code RangeAssigner}), record what dispatchers report ({@code
 * RangeReportHandler}), answer reads ({@code BatchReads}, {@code BatchResponses}), expire items
 * ({@code BatchExpiry}) and report capacity ({@code BatchCapacityReporter}). {@link
 * applespindle.corelogic.batch.BatchState} is the state, folded from {@link
 * applespindle.corelogic.batch.BatchEvent}s.
 *
 * <p>Dispatcher side, at the edge that dispatches to a worker: {@link
 * applespindle.corelogic.batch.BatchDispatcher} takes the leaders' messages, {@code RangeRequester}
 * requests ranges, {@code AssignedRanges} holds them, {@code WorkerDispatcher} sends their items,
 * {@code ItemRunner} runs them, and {@code RangeReporter} reports their outcomes.
 *
 * <p>Invariants: an item has at most one result, which never changes once it is committed. Nothing
 * is answered before its entry is committed by a majority. A range has one current assignment, and
 * its dispatcher sends no item after the lease has ended. Only the log is durable: leases, partial
 * streams and waiting reads are lost with their node.
 */
package applespindle.corelogic.batch;

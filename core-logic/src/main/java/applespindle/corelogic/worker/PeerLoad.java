package applespindle.corelogic.worker;

/**
 * What another edge of the zone last reported of its own calls at one worker.
 *
 * @param running its calls there
 * @param pendingPrefillTokens prompt tokens of those calls that the worker had yet to process
 * @param reportedAt when the report came, in monotonic milliseconds of this edge
 */
record PeerLoad(int running, double pendingPrefillTokens, long reportedAt) {}

package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;

/** Names of the error types that batches store and compare; an outcome carries its type by name. */
final class ItemErrorTypes {
  /**
   * The stream was cut. The dispatcher reports it with a partial stream, from whose end the next
   * run may continue; it is not a result.
   */
  static final String STREAM_TRUNCATED = new ApiError.WorkerStreamTruncated("").type();

  /** No run of the item can succeed: the first such outcome is its result. */
  static final String NOT_EXECUTABLE = new ApiError.ItemNotExecutable().type();

  /** The item had no result when the batch expired. */
  static final String EXPIRED = new ApiError.ItemExpired().type();

  private ItemErrorTypes() {}
}

package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.environment.ProxiedRequest;
import java.util.List;
import java.util.stream.IntStream;

/** The format in which the clients of a deployment write the body of a proxied batch. */
public interface BatchFormat {
  /** Bytes of each item's body in a sample batch. */
  int SAMPLE_BODY_BYTES = 1_000;

  /** Either the batch or the error that prevented its reading; the other is null. */
  record ParsedBatch(ProxiedBatch batch, ApiError error) {}

  /** Reads and checks a complete body; an error names everything that is wrong with it. */
  ParsedBatch parse(BatchSubmission submission);

  /** A sample batch as a client might write it, for the warm-up of a new process. */
  BatchSubmission sample(String id, String host, String path, int items);

  /** The product's own format: a {@link ProxiedBatch} as JSON. */
  BatchFormat OWN =
      new BatchFormat() {
        @Override
        public ParsedBatch parse(BatchSubmission submission) {
          InputReader.Input<ProxiedBatch> input =
              InputReader.read(submission.body(), ProxiedBatch.class);
          return input.isValid()
              ? new ParsedBatch(input.value(), null)
              : new ParsedBatch(null, new ApiError.InvalidInput(input.errors()));
        }

        @Override
        public BatchSubmission sample(String id, String host, String path, int items) {
          List<ProxiedBatch.Item> rows =
              IntStream.range(0, items)
                  .mapToObj(
                      number ->
                          new ProxiedBatch.Item(
                              "item-" + number,
                              path + "/" + number,
                              List.of(new ProxiedRequest.Header("Content-Type", "text/plain")),
                              new byte[SAMPLE_BODY_BYTES],
                              1))
                  .toList();
          return BatchSubmission.of(new ProxiedBatch(id, host, path, rows));
        }
      };
}

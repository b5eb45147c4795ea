package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.constants.SizeLimits;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Size;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A batch of prompts as its client submits it, in JSON. The times count from the acceptance; null
 * stands for the default.
 */
public record BatchInput(
    @NotEmpty @Size(max = SizeLimits.MAX_BATCH_ITEMS) List<@Valid @NotNull Item> items,
    @Min(1) @Max(86_400_000) Long due_in_ms,
    @Min(1) @Max(604_800_000) Long expires_in_ms) {
  private static final long DEFAULT_DUE_MS = 10_000;
  private static final long DEFAULT_EXPIRES_MS = 3_600_000;

  /** One prompt of a batch, with its sampling options. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Item(
      @NotBlank @Size(max = SizeLimits.MAX_ITEM_ID_LENGTH) String id,
      @NotBlank String prompt,
      @Min(1) @Max(SizeLimits.MAX_TOKENS) Integer max_tokens,
      String model,
      Double temperature,
      @JsonProperty("stop") String stop) {}

  /** When the batch should be finished, in milliseconds after its acceptance. */
  public long dueInMs() {
    return due_in_ms == null ? DEFAULT_DUE_MS : due_in_ms;
  }

  /** When items without a result expire, in milliseconds after the acceptance. */
  public long expiresInMs() {
    return expires_in_ms == null ? DEFAULT_EXPIRES_MS : expires_in_ms;
  }

  /** Reads and checks a batch; item ids must differ, as they identify the results. */
  public static InputReader.Input<BatchInput> read(byte[] bytes) {
    InputReader.Input<BatchInput> input = InputReader.read(bytes, BatchInput.class);
    if (!input.isValid()) {
      return input;
    }
    List<ApiError.Field> faults = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    List<Item> items = input.value().items();
    for (int index = 0; index < items.size(); index++) {
      if (!ids.add(items.get(index).id())) {
        faults.add(
            new ApiError.Field("$.items[" + index + "].id", "is the id of an earlier item too"));
      }
    }
    return faults.isEmpty() ? input : new InputReader.Input<>(null, faults);
  }
}

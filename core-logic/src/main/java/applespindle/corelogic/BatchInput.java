package applespindle.corelogic;

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

/** A batch as a sender hands it in. */
public record BatchInput(
    @NotEmpty @Size(max = Constants.BATCH_ITEMS_MOST) List<@Valid @NotNull Item> items,
    @Min(1) @Max(86_400_000) Long due_in_ms,
    @Min(1) @Max(604_800_000) Long expires_in_ms) {
  private static final long DUE_MS = 10_000;
  private static final long EXPIRES_MS = 3_600_000;

  /** One prompt of a batch, with its sampling options. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Item(
      @NotBlank @Size(max = Constants.ITEM_ID_LENGTH_MOST) String id,
      @NotBlank String prompt,
      @Min(1) @Max(Constants.TOKENS_MOST) Integer max_tokens,
      String model,
      Double temperature,
      @JsonProperty("stop") String stop) {}

  long dueInMs() {
    return due_in_ms == null ? DUE_MS : due_in_ms;
  }

  long expiresInMs() {
    return expires_in_ms == null ? EXPIRES_MS : expires_in_ms;
  }

  /** Reads and checks a batch; item ids must differ, as results are told apart by them. */
  public static InputReader.Input<BatchInput> read(byte[] bytes) {
    InputReader.Input<BatchInput> input = InputReader.read(bytes, BatchInput.class);
    if (!input.good()) {
      return input;
    }
    List<Fault.Field> faults = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    List<Item> items = input.value().items();
    for (int index = 0; index < items.size(); index++) {
      if (!ids.add(items.get(index).id())) {
        faults.add(
            new Fault.Field("$.items[" + index + "].id", "is the id of an earlier item too"));
      }
    }
    return faults.isEmpty() ? input : new InputReader.Input<>(null, faults);
  }
}

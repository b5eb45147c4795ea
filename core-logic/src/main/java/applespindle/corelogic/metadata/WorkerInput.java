package applespindle.corelogic.metadata;

import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.Pattern;

/** What the platform hands in for one worker. */
public record WorkerInput(
    @NotBlank @Pattern(regexp = "[A-Za-z0-9_.-]{1,100}") String id,
    @NotBlank @Pattern(regexp = "[0-9.]+:[0-9]{1,5}") String address,
    @NotBlank String pool,
    @Pattern(regexp = "ready|leaving") String state) {}

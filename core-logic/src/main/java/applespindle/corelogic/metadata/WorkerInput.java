package applespindle.corelogic.metadata;

import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.Pattern;

/**
 * The registration of one worker as sent by the platform.
 *
 * @param id id of the worker
 * @param address IPv4 address and port of the worker's HTTP interface
 * @param pool the pool of workers that it belongs to
 * @param state "ready" or "leaving"; may be null
 */
public record WorkerInput(
    @NotBlank @Pattern(regexp = "[A-Za-z0-9_.-]{1,100}") String id,
    @NotBlank @Pattern(regexp = "[0-9.]+:[0-9]{1,5}") String address,
    @NotBlank String pool,
    @Pattern(regexp = "ready|leaving") String state) {}

package applespindle.operatortool;

import applespindle.adapters.ExitStatus;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.configuration.ConfigurationPatch;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Changes the configuration in force by a patch. The result is computed here in the same way as by
 * the control plane, and signed: so what comes into force is exactly what its operator signed.
 */
final class ConfigurationPatching {
  /** A patch on top of one version of the configuration; sending it again is safe. */
  final class Change {
    private final byte[] patch;
    private final Map<String, String> headers;

    private Change(byte[] patch, Map<String, String> headers) {
      this.patch = patch;
      this.headers = headers;
    }

    HttpCaller.Result send() {
      return caller.call(HttpMethod.PATCH, core, "/v1/bundles/current", patch, headers);
    }
  }

  private final HttpCaller caller;
  private final String core;
  private final String keyId;
  private final Signer signer;
  private final String patchFile;

  /** Signs the bytes of a configuration. */
  interface Signer {
    /** The signature in Base64. */
    String sign(byte[] bytes) throws CommandException;
  }

  /**
   * Patches through one control plane.
   *
   * @param core its HTTP address
   * @param keyId the name of the signer's key there
   * @param patchFile the name of the patch, for faults
   */
  ConfigurationPatching(
      HttpCaller caller, String core, String keyId, Signer signer, String patchFile) {
    this.caller = caller;
    this.core = core;
    this.keyId = keyId;
    this.signer = signer;
    this.patchFile = patchFile;
  }

  /**
   * Signs the result of a patch to the configuration that is in force now.
   *
   * @param patch JSON with the fields number, upsert and remove
   * @throws CommandException if the configuration can not be read or the patch does not fit; the
   *     message then names every fault by its JSON path
   */
  Change of(byte[] patch) throws CommandException {
    HttpCaller.Result inForce = caller.get(core, "/v1/bundles/current");
    if (inForce.status() == 0) {
      throw Commands.noResponse(core, inForce);
    }
    if (!inForce.good()) {
      throw new CommandException(
          ExitStatus.REFUSED,
          "can not read the bundle in force: status " + inForce.status() + " " + inForce.text());
    }
    ConfigurationPatch.ParsedPatch read = ConfigurationPatch.parse(ConfigurationFormat.OWN, patch);
    throwIfAny(read.errors());
    byte[] bytes = Base64.getDecoder().decode(inForce.body().path("bytes").asText());
    ObjectNode written = ConfigurationFormat.OWN.sourceOf(bytes);
    ConfigurationPatch.PatchResult applied = read.patch().applyTo(written);
    throwIfAny(applied.errors());
    ConfigurationFormat.ParsedConfiguration parsed =
        ConfigurationFormat.OWN.parse(applied.configuration());
    throwIfAny(parsed.errors());
    return new Change(
        patch,
        Map.of(
            "If-Match",
            Long.toString(inForce.body().path("number").asLong()),
            "Applespindle-Key-Id",
            keyId,
            "Applespindle-Signature",
            signer.sign(parsed.configuration())));
  }

  private void throwIfAny(List<ApiError.Field> faults) throws CommandException {
    if (!faults.isEmpty()) {
      throw CommandFiles.unusable(
          patchFile,
          "does not fit: "
              + faults.stream()
                  .map(fault -> fault.path() + ": " + fault.reason())
                  .collect(Collectors.joining("; ")));
    }
  }
}

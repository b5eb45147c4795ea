package applespindle.corelogic.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * An operator's request to change the configuration in force by a {@link ConfigurationPatch}.
 *
 * @param bytes the patch as JSON, in the deployment's {@link ConfigurationFormat}
 * @param buildsOn the revision that the patch applies to
 * @param keyId the key of the signature; empty where configurations aren't signed
 * @param signature the operator's signature over the complete configuration that results, where
 *     configurations are signed
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ConfigurationPatchRequest(
    byte[] bytes, long buildsOn, String keyId, byte[] signature) {}

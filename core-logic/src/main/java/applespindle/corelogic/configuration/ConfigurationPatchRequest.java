package applespindle.corelogic.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A change of the configuration as its operator sent it.
 *
 * @param bytes the patch, in the deployment's {@link ConfigurationFormat}
 * @param buildsOn the revision that it changes
 * @param signature where configurations are signed: of the whole configuration that results
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ConfigurationPatchRequest(
    byte[] bytes, long buildsOn, String keyId, byte[] signature) {}

package applespindle.corelogic.configuration;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The API keys of the tenants of a configuration, indexed for the lookup of requests.
 *
 * <p>A key is found by its SHA-256 digest, and digests are compared in constant time, so that the
 * time of a lookup tells nothing about the keys. Immutable once compiled, safe for use by any
 * thread.
 */
public final class TenantKeys {
  /** The keys of a configuration without tenants: none is required. */
  public static final TenantKeys NONE = new TenantKeys(false);

  private record DigestedKey(byte[] digest, Tenant tenant) {}

  private final boolean required;

  /** By the first eight bytes of their digest. */
  private final Map<Long, List<DigestedKey>> keysByPrefix = new HashMap<>();

  private TenantKeys(boolean required) {
    this.required = required;
  }

  /**
   * Indexes the keys of a valid configuration. Tenants that are listed without any keys still make
   * keys required: nobody is admitted because the last key was taken away.
   */
  public static TenantKeys compile(RoutingConfiguration configuration) {
    if (configuration.tenants() == null) {
      return NONE;
    }
    TenantKeys keys = new TenantKeys(true);
    for (Tenant tenant : configuration.tenants()) {
      tenant.apiKeys().forEach(apiKey -> keys.add(apiKey, tenant));
    }
    return keys;
  }

  private void add(String apiKey, Tenant tenant) {
    byte[] digest = digestOf(apiKey);
    keysByPrefix
        .computeIfAbsent(prefixOf(digest), unseen -> new ArrayList<>(1))
        .add(new DigestedKey(digest, tenant));
  }

  /** Whether requests on routes that are not public need a key. */
  public boolean isRequired() {
    return required;
  }

  /** Returns the tenant that holds the key, or null if none does. */
  public Tenant find(String apiKey) {
    if (!required || apiKey.isEmpty()) {
      return null;
    }
    byte[] digest = digestOf(apiKey);
    Tenant found = null;
    for (DigestedKey key : keysByPrefix.getOrDefault(prefixOf(digest), List.of())) {
      if (MessageDigest.isEqual(key.digest(), digest)) {
        found = key.tenant();
      }
    }
    return found;
  }

  private static long prefixOf(byte[] digest) {
    return ByteBuffer.wrap(digest).getLong();
  }

  private static byte[] digestOf(String apiKey) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(apiKey.getBytes(UTF_8));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java runtime has SHA-256", missing);
    }
  }
}

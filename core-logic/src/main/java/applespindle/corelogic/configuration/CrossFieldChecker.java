package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.Autoscale;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RoutingAction;
import applespindle.corelogic.configuration.RoutingConfiguration.Rule;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks what no single field of a configuration shows: that names refer to something, that routes
 * don't overlap and that conditions compile. Expects a configuration whose fields satisfy their
 * constraints. An instance checks one configuration, on one thread.
 */
final class CrossFieldChecker {
  /** The error of a configuration that can't route any request. */
  static final ApiError.Field NO_RULES_AND_NO_ROUTES =
      new ApiError.Field("$.rules", "must not be empty where there are no routes");

  private final RoutingConfiguration configuration;
  private final List<ApiError.Field> errors = new ArrayList<>();

  private CrossFieldChecker(RoutingConfiguration configuration) {
    this.configuration = configuration;
  }

  /** Returns all errors, by the JSON path of the field at which each is reported; empty if none. */
  static List<ApiError.Field> check(RoutingConfiguration configuration) {
    CrossFieldChecker checker = new CrossFieldChecker(configuration);
    if (configuration.rules().isEmpty() && configuration.routes().isEmpty()) {
      checker.errors.add(NO_RULES_AND_NO_ROUTES);
    }
    checker.checkPools();
    checker.checkRoutes();
    checker.checkTenants();
    checker.checkRules();
    checker.checkPool("$.limits.batch.pool", configuration.limits().batch().pool());
    return checker.errors;
  }

  private void checkPools() {
    configuration
        .pools()
        .forEach(
            (name, pool) -> {
              Autoscale autoscale = pool.autoscale();
              if (autoscale != null && autoscale.minCount() > autoscale.maxCount()) {
                reject("$.pools." + name + ".autoscale.maxCount", "must be at least minCount");
              }
            });
  }

  private void checkRoutes() {
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (int index = 0; index < configuration.routes().size(); index++) {
      Route route = configuration.routes().get(index);
      String path = "$.routes[" + index + "]";
      String host = route.host().toLowerCase(Locale.ROOT);
      if (!hostsAndPrefixes.add(host + " " + route.pathPrefix())) {
        reject(path + ".pathPrefix", "is the host and prefix of an earlier route too");
      }
      checkSplit(path + ".split", route.split());
    }
  }

  private void checkSplit(String path, List<PoolWeight> split) {
    if (split.stream().mapToLong(PoolWeight::weight).sum() == 0) {
      reject(path, "has no weight");
    }
    for (PoolWeight share : split) {
      if (!configuration.pools().containsKey(share.pool())) {
        reject(path, "names no pool of this bundle: " + share.pool());
      }
    }
  }

  /** No reason holds the text of a key. */
  private void checkTenants() {
    List<Tenant> tenants = configuration.tenants() == null ? List.of() : configuration.tenants();
    Set<String> names = new HashSet<>();
    Map<String, Integer> holders = new HashMap<>();
    for (int index = 0; index < tenants.size(); index++) {
      String path = "$.tenants[" + index + "]";
      if (!names.add(tenants.get(index).name())) {
        reject(path + ".name", "is the name of an earlier tenant too");
      }
      checkApiKeys(path + ".apiKeys", index, tenants.get(index).apiKeys(), holders);
    }
  }

  /** Adds the keys to the index of the tenant that holds each. */
  private void checkApiKeys(
      String path, int tenant, List<String> apiKeys, Map<String, Integer> holders) {
    for (int index = 0; index < apiKeys.size(); index++) {
      Integer holder = holders.putIfAbsent(apiKeys.get(index), tenant);
      if (holder != null && holder != tenant) {
        reject(path + "[" + index + "]", "is a key of an earlier tenant too");
      }
    }
  }

  private void checkRules() {
    for (int index = 0; index < configuration.rules().size(); index++) {
      Rule rule = configuration.rules().get(index);
      String path = "$.rules[" + index + "]";
      if (rule.when() != null) {
        RuleCondition.errorsOf(rule.when()).forEach(error -> reject(path + ".when", error));
      }
      RoutingAction action = rule.action();
      checkPool(path + ".way.pool", action.pool());
      if (!configuration.limits().classes().containsKey(action.trafficClass())) {
        reject(path + ".way.trafficClass", "names no class of this bundle");
      }
    }
  }

  private void checkPool(String path, String pool) {
    if (!configuration.pools().containsKey(pool)) {
      reject(path, "names no pool of this bundle");
    }
  }

  private void reject(String path, String reason) {
    errors.add(new ApiError.Field(path, reason));
  }
}

package applespindle.testfleet.checker;

import static applespindle.testfleet.checker.ProxyHistories.ITEM;
import static applespindle.testfleet.checker.ProxyHistories.add;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The rules on batches of tenants reject a history that was altered to break them. */
final class TenantBatchRulesTest {
  private static final long LATE_MS = 20_000;

  /** A sound history in which tenant-0 holds key-0, tenant-1 key-1, and b2 is of tenant-0. */
  private static History withTenants(String tenantTold) {
    History history = ProxyHistories.sound();
    add(history, 15, Kind.CHANGE_KEY, "c1", "tenant-0", "key-0", 5);
    add(history, 15, Kind.CHANGE_KEY, "c1", "tenant-1", "key-1", 5);
    add(history, LATE_MS, Kind.OPAQUE_OWNER, "b2", "", "tenant-0", 0);
    ProxyHistories.batch(history, LATE_MS, "b2", "x2", 60);
    add(history, LATE_MS + 50, Kind.OPAQUE_ANSWERED, "b2", "", "", 201);
    ProxyHistories.runs(history, LATE_MS + 100, "i-1", "x2", ITEM, "r8", 0, 200);
    add(history, LATE_MS + 100, Kind.RUN_TENANT, tenantTold, "x2", "r8", 0);
    return history;
  }

  private static History withCall(String key, int status) {
    History history = withTenants("tenant-0");
    String call = "READ " + (LATE_MS + 500) + " " + key;
    add(history, LATE_MS + 510, Kind.OPAQUE_KEY_CALL, "b2", "edge-1", call, status);
    return history;
  }

  private static Set<Rule> broken(History history) {
    return Checker.check(history).stream().map(Violation::rule).collect(Collectors.toSet());
  }

  @Test
  void soundCallsBreakNothing() {
    assertThat(broken(withCall("key-0", 200))).isEmpty();
    assertThat(broken(withCall("key-1", 404))).isEmpty();
    assertThat(broken(withCall("key-9", 401))).isEmpty();
    assertThat(broken(withCall("-", 401))).isEmpty();
  }

  @Test
  void anItemThatRunsForAnotherTenantIsFound() {
    assertThat(broken(withTenants("tenant-1"))).containsExactly(Rule.WRONG_TENANT);
    assertThat(broken(withTenants(""))).containsExactly(Rule.WRONG_TENANT);
  }

  @Test
  void aBatchThatIsShownToOthersIsFound() {
    assertThat(broken(withCall("key-1", 200))).containsExactly(Rule.BATCH_SHOWN_TO_OTHERS);
    assertThat(broken(withCall("-", 200))).containsExactly(Rule.BATCH_SHOWN_TO_OTHERS);
  }

  @Test
  void aKeyThatIsRefusedThoughItIsHeldIsFound() {
    assertThat(broken(withCall("key-0", 401))).containsExactly(Rule.BUNDLE_NOT_IN_FORCE);
  }

  private static History withRefusal(String tenant) {
    History history = withTenants("tenant-0");
    add(history, LATE_MS + 60, Kind.OPAQUE_OWNER, "b3", "", tenant, 0);
    ProxyHistories.batch(history, LATE_MS + 60, "b3", "x3", 60);
    add(history, LATE_MS + 70, Kind.OPAQUE_ANSWERED, "b3", "NoRoom", "", 429);
    return history;
  }

  @Test
  void aRefusalForLackOfRoomThatAnotherTenantTakesIsFound() {
    assertThat(broken(withRefusal("tenant-0"))).isEmpty();
    assertThat(broken(withRefusal("tenant-1"))).containsExactly(Rule.SERVICE_NOT_BACK);
  }
}

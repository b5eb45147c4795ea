package applespindle.testfleet.clients;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The tenants that operators write into configurations, and the keys that clients carry: those in
 * use, those taken away, those not acknowledged yet, and some that no configuration ever held.
 */
public final class SimulatedTenants {
  private static final int KEYS_EACH = 2;
  private static final int PERCENT = 100;
  private static final int WITHDRAWN_PERCENT = 20;
  private static final int NEWEST_PERCENT = 6;
  private static final int NEVER_HELD_PERCENT = 3;
  private static final int NO_KEY_PERCENT = 3;

  /** A key and whether the client may expect to be served with it. */
  record ClientKey(String text, boolean valid) {}

  private final Simulation simulation;

  /** By tenant, its keys in the newest configuration that was written; the oldest key first. */
  private final List<List<String>> keys = new ArrayList<>();

  /** By key, the tenants that ever held it, in order: mostly the one that it was made for. */
  private final Map<String, List<String>> holders = new HashMap<>();

  private final Map<String, List<String>> keysOfChange = new HashMap<>();
  private final List<String> withdrawn = new ArrayList<>();
  private List<String> inUse = List.of();
  private int keysMade;

  SimulatedTenants(Simulation simulation, int tenants) {
    this.simulation = simulation;
    for (int tenant = 0; tenant < tenants; tenant++) {
      List<String> ofTenant = new ArrayList<>();
      for (int count = 0; count < KEYS_EACH; count++) {
        ofTenant.add(newKey(tenant));
      }
      keys.add(ofTenant);
    }
  }

  private String newKey(int tenant) {
    String key = "key-" + ++keysMade;
    holders.put(key, new ArrayList<>(List.of(nameOf(tenant))));
    return key;
  }

  /** Takes the oldest key of a random tenant away and gives it a new one. */
  void replaceOneKey() {
    int tenant = simulation.random.nextInt(keys.size());
    List<String> ofTenant = keys.get(tenant);
    withdrawn.add(ofTenant.remove(0));
    ofTenant.add(newKey(tenant));
  }

  /** Takes the oldest key of a random tenant away and gives it to another tenant. */
  void moveOneKey() {
    int from = simulation.random.nextInt(keys.size());
    int to = (from + 1) % keys.size();
    String moved = keys.get(from).remove(0);
    keys.get(to).add(moved);
    holders.get(moved).add(nameOf(to));
    keys.get(from).add(newKey(from));
  }

  /**
   * Writes the tenants into a configuration.
   *
   * @param sharedKey whether two tenants share a key, which makes the configuration invalid
   */
  void write(ObjectNode configuration, boolean sharedKey) {
    ArrayNode tenants = configuration.putArray("tenants");
    for (int tenant = 0; tenant < keys.size(); tenant++) {
      ObjectNode node = tenants.addObject().put("name", nameOf(tenant)).put("priority", tenant % 2);
      ArrayNode apiKeys = node.putArray("apiKeys");
      keys.get(tenant).forEach(apiKeys::add);
      if (sharedKey && tenant > 0) {
        apiKeys.add(keys.get(0).get(0));
      }
    }
  }

  private static String nameOf(int tenant) {
    return "tenant-" + tenant;
  }

  /** Notes in the history which keys a change holds. */
  void record(String change, long number) {
    List<String> ofChange = new ArrayList<>();
    for (int tenant = 0; tenant < keys.size(); tenant++) {
      for (String key : keys.get(tenant)) {
        ofChange.add(key);
        simulation.history.add(
            simulation.simulatedNowMs(), Kind.CHANGE_KEY, change, nameOf(tenant), key, number);
      }
    }
    keysOfChange.put(change, ofChange);
  }

  /** From now on clients take the keys of this change for those in force. */
  void use(String change) {
    inUse = keysOfChange.get(change);
  }

  /** The key of the next client. */
  ClientKey next() {
    int draw = simulation.random.nextInt(PERCENT);
    if (draw < WITHDRAWN_PERCENT && !withdrawn.isEmpty()) {
      return new ClientKey(any(withdrawn), false);
    }
    draw -= WITHDRAWN_PERCENT;
    if (draw >= 0 && draw < NEWEST_PERCENT) {
      return new ClientKey(any(keys.get(simulation.random.nextInt(keys.size()))), false);
    }
    draw -= NEWEST_PERCENT;
    if (draw >= 0 && draw < NEVER_HELD_PERCENT) {
      return new ClientKey("never-held", false);
    }
    draw -= NEVER_HELD_PERCENT;
    if (draw >= 0 && draw < NO_KEY_PERCENT) {
      return new ClientKey("", false);
    }
    return new ClientKey(any(inUse), true);
  }

  /** A tenant that submits a batch. */
  String anyName() {
    return nameOf(simulation.random.nextInt(keys.size()));
  }

  /**
   * A key in use that only this tenant ever held and that no change so far takes away; empty if
   * there is none at the moment.
   */
  String keyOf(String name) {
    List<String> choice =
        inUse.stream()
            .filter(key -> holders.get(key).equals(List.of(name)))
            .filter(key -> !withdrawn.contains(key))
            .toList();
    return choice.isEmpty() ? "" : any(choice);
  }

  /**
   * A key of another tenant, one that was taken away or never held, or none.
   *
   * @param neverHeld whether it must be none that this tenant ever held
   */
  String keyOfAnother(String name, boolean neverHeld) {
    List<String> choice = new ArrayList<>(List.of("", "never-held"));
    Stream.concat(withdrawn.stream(), keys.stream().flatMap(List::stream))
        .filter(key -> !holders.get(key).get(holders.get(key).size() - 1).equals(name))
        .forEach(choice::add);
    choice.addAll(withdrawn);
    choice.removeIf(key -> neverHeld && holders.getOrDefault(key, List.of()).contains(name));
    return any(choice);
  }

  private String any(List<String> choice) {
    return choice.get(simulation.random.nextInt(choice.size()));
  }
}

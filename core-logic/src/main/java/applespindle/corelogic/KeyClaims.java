package applespindle.corelogic;

import applespindle.corelogic.Message.KeyLogPart;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.OwnedKey.Claim;
import applespindle.corelogic.OwnedKey.ClaimOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The claims under way in one node: at most one for each key; whoever asks meanwhile hears of its
 * outcome too.
 */
final class KeyClaims {
  private final Surroundings surroundings;
  private final String nodeId;
  private final KeyReplicas.Replies sender;
  private final Function<String, ReplicaSets> setsOf;
  private final Consumer<OwnedKey> whenOwned;
  private final boolean quietWhenIdle;
  private final Map<String, OwnedKey> claiming = new HashMap<>();
  private final Map<String, List<Consumer<ClaimOutcome>>> waiting = new HashMap<>();

  KeyClaims(
      Surroundings surroundings,
      String nodeId,
      KeyReplicas.Replies sender,
      Function<String, ReplicaSets> setsOf,
      Consumer<OwnedKey> whenOwned) {
    this(surroundings, nodeId, sender, setsOf, whenOwned, false);
  }

  KeyClaims(
      Surroundings surroundings,
      String nodeId,
      KeyReplicas.Replies sender,
      Function<String, ReplicaSets> setsOf,
      Consumer<OwnedKey> whenOwned,
      boolean quietWhenIdle) {
    this.quietWhenIdle = quietWhenIdle;
    this.surroundings = surroundings;
    this.nodeId = nodeId;
    this.sender = sender;
    this.setsOf = setsOf;
    this.whenOwned = whenOwned;
  }

  void claim(String key, boolean handedOver, Consumer<ClaimOutcome> then) {
    List<Consumer<ClaimOutcome>> others = waiting.get(key);
    if (others != null) {
      others.add(then);
      return;
    }
    waiting.put(key, new ArrayList<>(List.of(then)));
    OwnedKey[] holder = new OwnedKey[1];
    holder[0] =
        new OwnedKey(
            surroundings,
            nodeId,
            sender,
            key,
            setsOf.apply(key),
            handedOver,
            quietWhenIdle,
            outcome -> {
              claiming.remove(key);
              if (outcome.claim() == Claim.OWNED) {
                whenOwned.accept(holder[0]);
              }
              waiting.remove(key).forEach(each -> each.accept(outcome));
            });
    if (holder[0].state() == OwnedKey.State.CLAIMING) {
      claiming.put(key, holder[0]);
    }
  }

  /** The key while its claim is under way, else null. */
  OwnedKey claiming(String key) {
    return claiming.get(key);
  }

  void promised(KeyPromised message, String fromId) {
    OwnedKey claimedKey = claiming.get(message.key());
    if (claimedKey != null) {
      claimedKey.promised(message, fromId);
    }
  }

  void logPart(KeyLogPart message) {
    OwnedKey claimedKey = claiming.get(message.key());
    if (claimedKey != null) {
      claimedKey.logPart(message);
    }
  }

  /** Lets every claim under way go on with the sets as they are known now. */
  void changeSets() {
    List.copyOf(claiming.values())
        .forEach(claimedKey -> claimedKey.changeSets(setsOf.apply(claimedKey.key)));
  }
}

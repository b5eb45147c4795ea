package applespindle.corelogic;

import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Message.KeyAppend;
import applespindle.corelogic.Message.KeyPromise;
import applespindle.corelogic.Message.Unfinished;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import static applespindle.corelogic.Json.JSON;

/** The data plane's storage role: replicas of batch records, and once-claims. */
public final class StorageNode extends DataNode {
  private final KeyReplicas replicas;
  /** Batches accepted by a committed entry and not yet committed as finished, ended or refused. */
  private final Set<String> unfinished = new TreeSet<>();
  /** Once-id to the one token that claimed it here. Written once; taken back only by the token itself. */
  private final Map<String, String> claims = new LinkedHashMap<>();

  public StorageNode(Surroundings surroundings, Place place) {
    super(surroundings, place);
    replicas = new KeyReplicas(surroundings, this::send, this::committed);
  }

  public KeyReplicas replicas() {
    return replicas;
  }

  @Override public void recover(DiskRecord record) {
    if (record.kind() == Kind.ONCE) {
      remember(record);
    } else {
      replicas.recover(record);
    }
  }

  private void remember(DiskRecord record) {
    if (record.epoch().node().isEmpty()) {
      claims.remove(record.key());
    } else {
      claims.put(record.key(), record.epoch().node());
    }
  }

  @Override public List<DiskRecord> checkpoint() {
    List<DiskRecord> records = new ArrayList<>(replicas.checkpoint());
    claims.forEach((id, token) -> records.add(onceRecord(id, token)));
    return records;
  }

  private static DiskRecord onceRecord(String id, String token) {
    return new DiskRecord(Kind.ONCE, id, new Epoch(0, token), 0, false, new byte[0]);
  }

  @Override public void start() {
    super.start();
    replicas.recovered();
    every(Constants.ORPHAN_SCAN_MS, this::reportOrphans);
  }

  private void committed(String key, Entry entry) {
    if (entry.isTakeover()) {
      return;
    }
    String kind = BatchEvent.kindOf(entry.event());
    if (kind.equals(BatchEvent.ACCEPTED)) {
      unfinished.add(key);
    } else if (kind.equals(BatchEvent.FINISHED) || kind.equals(BatchEvent.ENDED) || kind.equals(BatchEvent.REFUSED)) {
      unfinished.remove(key);
    }
    journal.add("committed", key, "sequence " + entry.sequence() + " " + kind);
  }

  /** Unfinished batches whose owner has gone silent are told to the edge that comes first for them now. */
  private void reportOrphans() {
    Map<Target, List<String>> orphans = new HashMap<>();
    for (String key : unfinished) {
      if (replicas.ownerSilent(replicas.copy(key))) {
        Target chosenEdge = firstEdge(key, 0);
        if (chosenEdge != null) {
          orphans.computeIfAbsent(chosenEdge, unseen -> new ArrayList<>()).add(key);
        }
      }
    }
    orphans.forEach((edge, keys) -> send(edge.address(), edge.id(), new Unfinished(keys)));
  }

  @Override protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof KeyAppend append) {
      replicas.append(append, fromId, fromAddress);
    } else if (message instanceof KeyPromise promise) {
      replicas.promise(promise, fromId, fromAddress);
    } else {
      super.handle(message, fromId, fromAddress);
    }
  }

  @Override protected void handleAsk(Ask ask) {
    switch (ask.duty()) {
      case "peek" -> peek(ask);
      case "claim" -> claim(ask);
      case "unclaim" -> unclaim(ask);
      default -> respond(ask, Response.of(new Fault.UnknownDuty(ask.duty())));
    }
  }

  private void peek(Ask ask) {
    KeyReplicas.Copy copy = replicas.copies().get(ask.key());
    boolean present = copy != null && copy.entries.stream().anyMatch(entry -> !entry.isTakeover());
    respond(ask, Response.of(200, JSON.createObjectNode().put("present", present)));
  }

  private void claim(Ask ask) {
    if (!surroundings.takesWrites()) {
      return;
    }
    String token = Json.tree(ask.body()).path("token").asText();
    String holder = claims.putIfAbsent(ask.key(), token);
    if (holder != null && !holder.equals(token)) {
      respond(ask, Response.of(new Fault.AlreadyClaimed(ask.key())));
      return;
    }
    List<DiskRecord> records = holder == null ? List.of(onceRecord(ask.key(), token)) : List.of();
    surroundings.write(records, () -> respond(ask, Response.of(200, JSON.createObjectNode().put("claimed", true))));
  }

  /** Only the token that claimed may take the claim back, and only before anything of it was handed over. */
  private void unclaim(Ask ask) {
    JsonNode body = Json.tree(ask.body());
    boolean holds = claims.remove(ask.key(), body.path("token").asText());
    List<DiskRecord> records = holds ? List.of(onceRecord(ask.key(), "")) : List.of();
    surroundings.write(records, () -> respond(ask, Response.of(200, JSON.createObjectNode().put("claimed", false))));
  }

  @Override public String notReadyBecause() {
    return stopping ? "stopping" : !joined() ? "no grant from the core" : "";
  }

  @Override public ObjectNode status() {
    return super.status().put("keys", replicas.copies().size()).put("unfinished", unfinished.size())
        .put("onceClaims", claims.size());
  }

  @Override public void stop(Runnable whenDone) {
    stopping = true;
    leaveCore(() -> {
      end();
      whenDone.run();
    });
  }
}

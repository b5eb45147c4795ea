package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerResponse;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepted batches being lost when storage nodes lose their disks in turn: the copy
 * of large records took longer than the time after which the next disk may be lost, as pages that
 * did not fit into a connection's queue were dropped and only requested again after a timeout.
 *
 * <p>Each node sends over one link of 600 Mbit/s. What waits for one peer is bounded in bytes, as
 * in a real connection, and what goes beyond is dropped.
 */
final class LargeLogRepairTest {
  private static final Epoch EPOCH = new Epoch(3, "edge");

  /** What a connection queued when the fault was found. */
  private static final long MAX_QUEUED_BYTES = 4 << 20;

  private static final int SHARDS = 12;
  private static final int LOGS = 30;
  private static final int EVENT_BYTES = 3_000_000;
  private static final long LINK_BYTES_PER_MS = 75_000;
  private static final long LATENCY_MS = 1;
  private static final long MESSAGE_BYTES = 300;

  /** What is left of 4.8 s once the process has started and the change of replicas has begun. */
  private static final long REPAIR_LIMIT_MS = 3_300;

  /** A little more than each entry once. */
  private static final long MAX_LINK_BYTES = LOGS * (long) EVENT_BYTES * 11 / 10;

  /** A new record that is synced takes this long for each megabyte, one after the other. */
  private static final long SYNC_MS_PER_MEGABYTE = 5;

  private static final class Link {
    long freeAtMs;
    final Map<String, Long> queuedBytes = new HashMap<>();
  }

  /** Delivers the messages of all nodes, over the link of the node that sends. */
  private static final class LinkedNodes extends FakeEnvironment {
    final Map<String, StorageReplica> nodes = new LinkedHashMap<>();
    final Map<String, Link> links = new HashMap<>();
    long bytesSent;
    int dropped;
    private long diskFreeAtMs;

    LinkedNodes() {
      super(0);
    }

    /** Answers to the leader, which is not played here, are not delivered. */
    @Override
    public void send(String peerAddress, Envelope envelope) {
      if (!nodes.containsKey(peerAddress)) {
        return;
      }
      long bytes = sizeOf(envelope.message());
      Link link = links.computeIfAbsent(envelope.fromId(), id -> new Link());
      long queued = link.queuedBytes.getOrDefault(peerAddress, 0L);
      if (queued > 0 && queued + bytes > MAX_QUEUED_BYTES) {
        dropped++;
        return;
      }
      link.queuedBytes.merge(peerAddress, bytes, Long::sum);
      bytesSent += bytes;
      link.freeAtMs = Math.max(link.freeAtMs, nowMs()) + bytes / LINK_BYTES_PER_MS;
      schedule(
          link.freeAtMs - nowMs() + LATENCY_MS,
          () -> {
            link.queuedBytes.merge(peerAddress, -bytes, Long::sum);
            nodes.get(peerAddress).receive(envelope);
          });
    }

    private static long sizeOf(Message message) {
      if (message instanceof PeerResponse response) {
        return MESSAGE_BYTES + response.body().length;
      }
      if (message instanceof PeerRequest request) {
        return MESSAGE_BYTES + request.body().length;
      }
      if (message instanceof EntryChunk chunk) {
        return MESSAGE_BYTES + chunk.bytes().length;
      }
      return MESSAGE_BYTES;
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      long bytes = records.stream().mapToLong(record -> record.payload().length).sum();
      diskFreeAtMs = Math.max(diskFreeAtMs, nowMs()) + bytes * SYNC_MS_PER_MEGABYTE / 1_000_000;
      schedule(diskFreeAtMs - nowMs(), whenSynced);
    }
  }

  /** A node that has replicas and takes part in catch-ups, as a source or as the joining one. */
  private static final class StorageReplica extends Node {
    final LogReplicas replicas;
    final ReplicaCatchUp catchUp;

    StorageReplica(LinkedNodes environment, String id) {
      super(environment, new NodeIdentity(id, 1, id, "z", "storage", id, "", List.of()));
      replicas =
          new LogReplicas(environment, this::send, (key, entry) -> {}, LargeLogRepairTest::shardOf);
      catchUp =
          new ReplicaCatchUp(
              environment, this, replicas, new TreeMap<>(), LargeLogRepairTest::shardOf);
      environment.nodes.put(id, this);
    }

    @Override
    protected void handle(Message message, String fromId, String fromAddress) {
      catchUp.handle(message, fromId, fromAddress);
    }

    @Override
    protected void handleRequest(PeerRequest request) {
      catchUp.servePage(request);
    }

    @Override
    public void start() {}

    @Override
    public void stop(Runnable whenDone) {}

    @Override
    public String notReadyReason() {
      return "";
    }

    @Override
    public ObjectNode status() {
      return JsonNodeFactory.instance.objectNode();
    }
  }

  private final LinkedNodes network = new LinkedNodes();
  private final List<String> caughtUp = new ArrayList<>();

  private static String shardOf(String key) {
    return "shard/" + Math.floorMod(key.hashCode(), SHARDS);
  }

  private static String key(int number) {
    return "batch/" + number;
  }

  private StorageReplica sourceWithLargeLogs(String id) {
    StorageReplica source = new StorageReplica(network, id);
    for (int number = 0; number < LOGS; number++) {
      byte[] event = new byte[EVENT_BYTES];
      Arrays.fill(event, (byte) ('a' + number % 26));
      source.replicas.handleAppendRequest(
          new AppendRequest(
              key(number),
              EPOCH,
              1,
              1,
              0,
              Epoch.NONE,
              1,
              true,
              List.of(new LogEntry(1, EPOCH, true, event))),
          EPOCH.node(),
          "edge");
    }
    return source;
  }

  @Test
  void largeLogsAreCopiedBeforeTheNextDiskMayBeLost() {
    StorageReplica first = sourceWithLargeLogs("storage-1");
    sourceWithLargeLogs("storage-2");
    network.run(5_000);
    StorageReplica joining = new StorageReplica(network, "storage-3");
    long sentBefore = network.bytesSent;
    network.dropped = 0;
    long startedAtMs = network.nowMs();
    for (int number = 0; number < SHARDS; number++) {
      String shard = "shard/" + number;
      joining.catchUp.catchUp(
          shard,
          2,
          List.of(
              new NodeAddress("storage-1", "storage-1"), new NodeAddress("storage-2", "storage-2")),
          () -> true,
          () -> caughtUp.add(shard));
    }
    long allDoneAtMs = Long.MAX_VALUE;
    for (int step = 0; step < 3_000 && allDoneAtMs == Long.MAX_VALUE; step++) {
      network.run(10);
      allDoneAtMs = caughtUp.size() == SHARDS ? network.nowMs() : Long.MAX_VALUE;
    }
    assertThat(caughtUp).hasSize(SHARDS);
    for (int number = 0; number < LOGS; number++) {
      LogEntry copied = joining.replicas.replica(key(number)).entryAt(1);
      assertThat(copied.event()).isEqualTo(first.replicas.replica(key(number)).entryAt(1).event());
    }
    assertWithMessage(
            "milliseconds until all shards are copied, %s frames dropped", network.dropped)
        .that(allDoneAtMs - startedAtMs)
        .isAtMost(REPAIR_LIMIT_MS);
    assertWithMessage("bytes sent").that(network.bytesSent - sentBefore).isAtMost(MAX_LINK_BYTES);
  }
}

package applespindle.testfleet.history;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;

/**
 * The events observed from outside of the system by clients, workers, operators and the platform,
 * in order of time.
 */
public final class History {
  /** The kinds of events; each documents the fields of its events. */
  public enum Kind {
    /** subject: batch key; detail: item id; text: prompt; number: tokens. */
    ITEM,
    /** subject: batch key; number: items. */
    SUBMIT_SENT,
    /** subject: batch key; number: status, 0 for none; detail: error type; text: batch id. */
    SUBMIT_ANSWERED,
    /** subject: batch key; number: status; detail: state; text: results recorded. */
    BATCH_READ,
    /** subject: batch key; number: the result's number; detail: item id and type; text: output. */
    RESULT_READ,
    /** subject: batch key. */
    END_ASKED,
    /** subject: batch key; number: status. */
    END_ANSWERED,
    /** subject: worker; detail: batch id and item id, empty for a live request; text: prompt. */
    WORKER_RECEIVED,
    WORKER_FINISHED,
    /** subject: request; detail: once-id; text: prompt; number: tokens. */
    LIVE_SENT,
    /**
     * subject: request; number: status, 0 for none; detail: complete, cut, or the error type; text:
     * output.
     */
    LIVE_ANSWERED,
    /** number: the configuration's number. */
    BUNDLE_SENT,
    /** subject: the configuration's number; number: status. */
    BUNDLE_ANSWERED,
    /** number: the number read; text: when the read began. */
    BUNDLE_READ,
    /** subject: an edge that says it is ready; number: the configuration it has in force. */
    EDGE_BUNDLE,
    /** subject: worker; number: status. */
    LEAVING_ANSWERED,
    /**
     * subject: the configuration's number; detail: traffic class; text: the pool it routes the
     * class to.
     */
    BUNDLE_WAY,
    /** subject: request; detail: the edge it was sent to. */
    LIVE_AT,
    /** subject: worker; detail: the pool it was listed in. */
    WORKER_POOL,
    /** subject: request; detail: its traffic class; text: its prompt. */
    LIVE_CLASS,
    /** number: agreed ceiling of waiting items. */
    CEILING,
    /** subject: what was done to the fleet. */
    FAULT,
    /** subject: a bound that the deployment tells its processes; number: its value. */
    BOUND,
    /**
     * subject: process; detail: began or ended, and down, frozen, cut, slow, disk, clock, reset or
     * stopping; text: its role.
     */
    TROUBLE,
    /** subject: worker; detail: its pool; text: its address. */
    WORKER_BORN,
    /**
     * subject: worker; detail: its pool; text: ready, leaving or gone, as the outside list shows it
     * from now on.
     */
    WORKER_LISTED,
    /** detail: began or ended. */
    LIST_TROUBLE,
    /**
     * subject: change; detail: valid or invalid; text: the number it builds on; number: its own.
     */
    CHANGE_SENT,
    /**
     * subject: change; detail: route; text: host, prefix, type, attempts, most waiting tokens,
     * pools, and public if it is; number: the change's.
     */
    CHANGE_ROUTE,
    /** subject: change; detail: tenant; text: one of its keys; number: the change's. */
    CHANGE_KEY,
    /**
     * subject: change; detail: error type; text: when this call began, empty for the first; number:
     * status, 0 for none.
     */
    CHANGE_ANSWERED,
    /**
     * subject: the change of just these bytes, or none; text: when the read began; number: the
     * number read.
     */
    CHANGE_READ,
    /**
     * subject: try; detail: once, repeatable, stream or resumable, the edge, the last event its
     * client has; text: what was asked; number: its tokens.
     */
    REQUEST_SENT,
    /**
     * subject: try; text: the key that it carries, empty for none; only where there are tenants.
     */
    REQUEST_KEY,
    /**
     * subject: try; detail: complete, cut, refused, broken, unreachable or given-up; text: stamp,
     * line feed, body; number: status.
     */
    REQUEST_ANSWERED,
    /**
     * subject: worker; detail: request and edge; text: what was asked; number: 0, or the status it
     * was turned away with.
     */
    RUN_ARRIVED,
    /** subject: worker; detail: request; text: run; number: the event it goes on behind. */
    RUN_BEGAN,
    /**
     * subject: the tenant that the worker is told, which is not empty; detail: request; text: run;
     * number: 0. The worker puts out the first of a successful response.
     */
    RUN_PUT_OUT,
    /**
     * subject: the tenant that the worker is told, empty for none; detail: request; text: run;
     * number: 1 if the client's credentials were passed on.
     */
    RUN_TENANT,
    /**
     * subject: worker; detail: request; text: run; number: status of the whole answer, 0 if it
     * broke off, -1 if its caller left.
     */
    RUN_ENDED,
    /** subject: batch; detail: edge; text: host and path; number: tokens. */
    OPAQUE_SENT,
    /**
     * subject: batch; detail: item; text: tokens counted, and what is asked; number: its tokens put
     * out.
     */
    OPAQUE_ITEM,
    /** subject: batch; detail: error type; number: status, 0 for none. */
    OPAQUE_ANSWERED,
    /**
     * subject: batch; detail: edge; text: first position asked, next position, total, when the read
     * began; number: status.
     */
    OPAQUE_READ,
    /** subject: batch; detail: item and state; text: output; number: position. */
    OPAQUE_RESULT,
    /** subject: batch; detail: item; text: body; number: status. */
    OPAQUE_BODY,
    /** subject: batch; text: the tenant that submits it; only where there are tenants. */
    OPAQUE_OWNER,
    /**
     * subject: batch; detail: edge; text: kind of the call, when it began, the key that it carries,
     * or a dash; number: status, 0 for none. Calls of the batch's tenant and of others.
     */
    OPAQUE_KEY_CALL,
    /** subject: batch. */
    OPAQUE_END_ASKED,
    /** subject: batch; number: status. */
    OPAQUE_END_ANSWERED,
    /**
     * subject: batch; detail: read or unread; text: results then read back; number: items whose
     * body did not come.
     */
    OPAQUE_CLOSED,
    /**
     * A report of usage that has arrived at the platform. subject: usage; detail: holder and
     * fencing token; text: window and counters; number: status.
     */
    USAGE_REPORTED,
    /**
     * An order of workers that has arrived at the platform. subject: pool and zone; detail: holder
     * and fencing token; text: number of workers; number: status.
     */
    SCALE_ORDERED,
    /** The platform's side of the duties. detail: began or ended; text: its condition before. */
    DUTY_TROUBLE
  }

  /** One event as observed from outside. */
  public record Seen(
      long atMs, Kind kind, String subject, String detail, String text, long number) {}

  private final List<Seen> all = new ArrayList<>();

  /**
   * Adds an event; from any thread.
   *
   * @param atMs time on the clock of the run, in milliseconds
   */
  public synchronized void add(
      long atMs, Kind kind, String subject, String detail, String text, long number) {
    all.add(new Seen(atMs, kind, subject, detail, text, number));
  }

  /** All events in the order in which they were added; a copy. */
  public synchronized List<Seen> all() {
    return List.copyOf(all);
  }

  /** The events of a kind, in order. */
  public List<Seen> of(Kind kind) {
    return all().stream().filter(seen -> seen.kind() == kind).toList();
  }

  /** All events as text, a line each, as {@link #fromLines} reads them. */
  public String toLines() {
    StringBuilder lines = new StringBuilder();
    all().forEach(seen -> lines.append(new String(Json.bytes(seen), UTF_8)).append('\n'));
    return lines.toString();
  }

  /** A line of a written history that can't be parsed. */
  public static final class UnreadableHistoryException extends Exception {
    public final int line;

    UnreadableHistoryException(int line, String reason) {
      super("line " + line + ": " + reason);
      this.line = line;
    }
  }

  /**
   * Reads a history that {@link #toLines} has written.
   *
   * @throws UnreadableHistoryException if a line can not be read; it names the line
   */
  public static History fromLines(String lines) throws UnreadableHistoryException {
    History history = new History();
    int number = 0;
    for (String line : lines.split("\n")) {
      number++;
      if (line.isBlank()) {
        continue;
      }
      try {
        Seen seen = JSON.readValue(line, Seen.class);
        if (seen.kind() == null
            || seen.subject() == null
            || seen.detail() == null
            || seen.text() == null) {
          throw new UnreadableHistoryException(number, "a field is missing");
        }
        history.all.add(seen);
      } catch (JsonProcessingException fault) {
        throw new UnreadableHistoryException(number, fault.getOriginalMessage());
      }
    }
    return history;
  }
}

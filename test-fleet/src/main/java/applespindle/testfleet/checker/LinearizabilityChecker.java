package applespindle.testfleet.checker;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Whether the operators' calls could have happened one after the other, each at a moment between
 * its sending and its answer, on one compare-and-set register that holds the configuration in
 * force. A change is accepted if the register holds the revision that it builds on; sent again, it
 * is acknowledged again. A call without a clear answer may have been carried out at any later
 * moment, or never.
 *
 * <p>A search in the manner of Wing and Gong with the linearization points placed as late as
 * possible: only acceptances change the register, and one is supposed only when an answer can't be
 * explained without it. What is left to choose, and kept side by side, is which of several orders
 * without a clear answer was accepted.
 */
public final class LinearizabilityChecker {
  private static final Set<Long> REFUSALS = Set.of(400L, 409L, 412L, 413L, 422L);

  /** More alternatives than these are no history that operators leave behind. */
  private static final int MAX_STATES = 10_000;

  private enum Result {
    ACKNOWLEDGED,
    REFUSED,
    READ
  }

  /** A change as its operator sends it, unchanged each time. */
  private record Change(String id, long buildsOn, long number, boolean valid, long firstSentMs) {}

  private record Call(Change change, Result result, long sentMs, long answeredMs) {}

  /**
   * The register after a change was accepted just before the answer with the given place; before is
   * null for the empty register.
   */
  private record State(Change accepted, int place, State before) {
    static final State EMPTY = new State(new Change("none", 0, 0, true, 0), -1, null);

    long number() {
      return accepted.number();
    }

    /** Numbers fall from each state to the one before it. */
    boolean holdsOrHeld(Change change) {
      State state = this;
      while (state.number() > change.number()) {
        state = state.before;
      }
      return state.accepted == change;
    }

    boolean accepts(Change change, long nowMs) {
      return change.valid()
          && change.buildsOn() == number()
          && change.number() > number()
          && change.firstSentMs() <= nowMs;
    }
  }

  private final Map<String, Change> changes = new LinkedHashMap<>();
  private final Map<Long, List<Change>> changesOnBase = new HashMap<>();

  /** By the time of their answers. */
  private final List<Call> calls = new ArrayList<>();

  private LinearizabilityChecker(List<Seen> history) {
    history.forEach(this::index);
    calls.sort(Comparator.comparingLong(Call::answeredMs));
  }

  /** The first call that no order of the calls explains, in words; empty if all are explained. */
  public static Optional<String> check(List<Seen> history) {
    return new LinearizabilityChecker(history).search();
  }

  private void index(Seen seen) {
    Change change = changes.get(seen.subject());
    if (seen.kind() == Kind.CHANGE_SENT && change == null) {
      boolean valid = seen.detail().equals("valid");
      Change sent =
          new Change(
              seen.subject(), Long.parseLong(seen.text()), seen.number(), valid, seen.atMs());
      changes.put(sent.id(), sent);
      changesOnBase.computeIfAbsent(sent.buildsOn(), unseen -> new ArrayList<>()).add(sent);
    } else if (seen.kind() == Kind.CHANGE_ANSWERED && seen.number() == 200) {
      calls.add(new Call(change, Result.ACKNOWLEDGED, sentMs(seen, change), seen.atMs()));
    } else if (seen.kind() == Kind.CHANGE_ANSWERED && REFUSALS.contains(seen.number())) {
      calls.add(new Call(change, Result.REFUSED, sentMs(seen, change), seen.atMs()));
    } else if (seen.kind() == Kind.CHANGE_READ && change != null) {
      calls.add(new Call(change, Result.READ, sentMs(seen, change), seen.atMs()));
    }
  }

  private static long sentMs(Seen answer, Change change) {
    return answer.text().isEmpty() ? change.firstSentMs() : Long.parseLong(answer.text());
  }

  private Optional<String> search() {
    List<State> possible = List.of(State.EMPTY);
    for (int place = 0; place < calls.size(); place++) {
      List<State> next = new ArrayList<>();
      for (State state : possible) {
        explain(state, place, next);
      }
      if (next.isEmpty()) {
        return Optional.of(describe(calls.get(place), possible));
      }
      if (next.size() > MAX_STATES) {
        throw new IllegalStateException("too many orders without a clear answer");
      }
      possible = next;
    }
    return Optional.empty();
  }

  /** Adds the states with fewest acceptances, from the given one on, that explain the answer. */
  private void explain(State from, int place, List<State> explaining) {
    Call call = calls.get(place);
    int firstPlace = firstPlaceAfter(call.sentMs());
    Deque<State> open = new ArrayDeque<>(List.of(from));
    while (!open.isEmpty()) {
      State state = open.poll();
      if (explains(state, call, firstPlace)) {
        explaining.add(state);
        continue;
      }
      for (Change change : changesOnBase.getOrDefault(state.number(), List.of())) {
        if (state.accepts(change, call.answeredMs())) {
          open.add(new State(change, place, state));
        }
      }
    }
  }

  /** The first answer that did not come before the given time. */
  private int firstPlaceAfter(long timeMs) {
    int low = 0;
    int high = calls.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (calls.get(middle).answeredMs() < timeMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private static boolean explains(State last, Call call, int firstPlace) {
    if (call.result() == Result.ACKNOWLEDGED) {
      return last.holdsOrHeld(call.change());
    }
    for (State state = last, after = null;
        state != null && (after == null || after.place() >= firstPlace);
        after = state, state = state.before()) {
      boolean fits =
          call.result() == Result.READ
              ? state.accepted() == call.change()
              : refuses(state, call.change());
      if (fits) {
        return true;
      }
    }
    return false;
  }

  private static boolean refuses(State state, Change change) {
    return !state.holdsOrHeld(change) && !state.accepts(change, Long.MAX_VALUE);
  }

  private static String describe(Call call, List<State> possible) {
    State likely = possible.get(0);
    return "no order of the calls explains that "
        + call.change().id()
        + " ("
        + call.change().buildsOn()
        + " to "
        + call.change().number()
        + (call.change().valid() ? "" : ", invalid")
        + "), sent or asked at "
        + call.sentMs()
        + ", was "
        + call.result().name().toLowerCase(java.util.Locale.ROOT)
        + " at "
        + call.answeredMs()
        + " where "
        + likely.accepted().id()
        + " with "
        + likely.number()
        + " was in force";
  }
}

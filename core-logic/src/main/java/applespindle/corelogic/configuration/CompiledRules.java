package applespindle.corelogic.configuration;

import applespindle.corelogic.configuration.RoutingConfiguration.Match;
import applespindle.corelogic.configuration.RoutingConfiguration.RoutingAction;
import applespindle.corelogic.configuration.RoutingConfiguration.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The rules of a configuration, compiled into a linear program that is interpreted for each live
 * request: the tests of the first rule, its action, the tests of the second rule, and so on. A test
 * that fails jumps to the next rule; an action ends the program.
 *
 * <p>Immutable, safe for use by any thread.
 */
public final class CompiledRules {
  private enum Operation {
    MODEL_IS,
    CLIENT_IS,
    CLASS_IS,
    HEADER_IS,
    PROMPT_AT_MOST,
    PROMPT_AT_LEAST,
    CONDITION_HOLDS,
    TAKE_ACTION
  }

  /**
   * One test of a rule, or its action.
   *
   * @param headerName the header that HEADER_IS compares, in lower case
   * @param text the operand of the operations that compare texts
   * @param number the operand of the operations that compare numbers
   * @param condition the operand of CONDITION_HOLDS
   * @param action the result of TAKE_ACTION
   * @param nextRule where the program goes on if the test fails
   */
  private record Instruction(
      Operation operation,
      String headerName,
      String text,
      int number,
      RuleCondition condition,
      RoutingAction action,
      int nextRule) {
    private static final int UNKNOWN = -1;

    static Instruction compareText(Operation operation, String text) {
      return new Instruction(operation, null, text, 0, null, null, UNKNOWN);
    }

    static Instruction compareHeader(String headerName, String value) {
      return new Instruction(Operation.HEADER_IS, headerName, value, 0, null, null, UNKNOWN);
    }

    static Instruction compareNumber(Operation operation, int number) {
      return new Instruction(operation, null, null, number, null, null, UNKNOWN);
    }

    static Instruction evaluate(RuleCondition condition) {
      return new Instruction(Operation.CONDITION_HOLDS, null, null, 0, condition, null, UNKNOWN);
    }

    static Instruction takeAction(RoutingAction action) {
      return new Instruction(Operation.TAKE_ACTION, null, null, 0, null, action, UNKNOWN);
    }

    Instruction withNextRule(int position) {
      return new Instruction(operation, headerName, text, number, condition, action, position);
    }

    boolean passes(Subject subject) {
      return switch (operation) {
        case MODEL_IS -> Objects.equals(text, subject.model());
        case CLIENT_IS -> Objects.equals(text, subject.client());
        case CLASS_IS -> Objects.equals(text, subject.trafficClass());
        case HEADER_IS -> Objects.equals(text, subject.headers().get(headerName));
        case PROMPT_AT_MOST -> subject.promptChars() <= number;
        case PROMPT_AT_LEAST -> subject.promptChars() >= number;
        case CONDITION_HOLDS -> condition.holds(subject);
        case TAKE_ACTION -> true;
      };
    }
  }

  /**
   * The properties of a live request that rules are evaluated against.
   *
   * @param model null if the request names none
   * @param headers by name in lower case
   */
  public record Subject(
      String model,
      String client,
      String trafficClass,
      Map<String, String> headers,
      int promptChars) {}

  private final List<Instruction> program;

  private CompiledRules(List<Instruction> program) {
    this.program = program;
  }

  /**
   * Compiles the rules of a valid configuration.
   *
   * @throws IllegalStateException if a condition doesn't compile, which validation rules out
   */
  public static CompiledRules compile(RoutingConfiguration configuration) {
    List<Instruction> program = new ArrayList<>();
    for (Rule rule : configuration.rules()) {
      List<Instruction> instructions = testsOf(rule);
      instructions.add(Instruction.takeAction(rule.action()));
      int nextRule = program.size() + instructions.size();
      instructions.forEach(instruction -> program.add(instruction.withNextRule(nextRule)));
    }
    return new CompiledRules(List.copyOf(program));
  }

  private static List<Instruction> testsOf(Rule rule) {
    List<Instruction> tests = new ArrayList<>();
    if (rule.when() != null) {
      tests.add(Instruction.evaluate(RuleCondition.compile(rule.when())));
    }
    if (rule.match() != null) {
      addTests(tests, rule.match());
    }
    return tests;
  }

  private static void addTests(List<Instruction> tests, Match match) {
    addTextTest(tests, Operation.MODEL_IS, match.model());
    addTextTest(tests, Operation.CLIENT_IS, match.client());
    addTextTest(tests, Operation.CLASS_IS, match.trafficClass());
    if (match.headers() != null) {
      match.headers().forEach((name, value) -> addHeaderTest(tests, name, value));
    }
    addNumberTest(tests, Operation.PROMPT_AT_MOST, match.maxPromptChars());
    addNumberTest(tests, Operation.PROMPT_AT_LEAST, match.minPromptChars());
  }

  private static void addTextTest(List<Instruction> tests, Operation operation, String text) {
    if (text != null) {
      tests.add(Instruction.compareText(operation, text));
    }
  }

  private static void addHeaderTest(List<Instruction> tests, String name, String value) {
    if (value != null) {
      tests.add(Instruction.compareHeader(name.toLowerCase(), value));
    }
  }

  private static void addNumberTest(List<Instruction> tests, Operation operation, Integer number) {
    if (number != null) {
      tests.add(Instruction.compareNumber(operation, number));
    }
  }

  /** Returns the action of the first rule that matches, or null if none does. */
  public RoutingAction run(Subject subject) {
    int position = 0;
    while (position < program.size()) {
      Instruction instruction = program.get(position);
      if (instruction.operation() == Operation.TAKE_ACTION) {
        return instruction.action();
      }
      position = instruction.passes(subject) ? position + 1 : instruction.nextRule();
    }
    return null;
  }
}

package applespindle.corelogic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** A bundle's rules as a short program, and the small interpreter that runs it for each request. */
public final class CompiledRules {
  enum Operation {
    MODEL_IS,
    CLIENT_IS,
    CLASS_IS,
    HEADER_IS,
    PROMPT_AT_MOST,
    PROMPT_AT_LEAST,
    WHEN_HOLDS,
    TAKE_ACTION
  }

  /** Tests jump to elseGoTo when they do not fit; TAKE_WAY ends the program. */
  record Instruction(
      Operation operation,
      String name,
      String text,
      int number,
      RuleCondition when,
      RoutingConfiguration.Rule rule,
      int elseGoTo) {}

  /** The properties of a live request that conditions of rules are evaluated against. */
  public record Subject(
      String model,
      String client,
      String trafficClass,
      Map<String, String> headers,
      int promptChars) {}

  private final List<Instruction> program = new ArrayList<>();

  public static CompiledRules compile(RoutingConfiguration configuration) {
    CompiledRules compiled = new CompiledRules();
    for (RoutingConfiguration.Rule rule : configuration.rules()) {
      List<Instruction> tests = compiled.tests(rule);
      int nextRule = compiled.program.size() + tests.size() + 1;
      tests.forEach(
          test ->
              compiled.program.add(
                  new Instruction(
                      test.operation(),
                      test.name(),
                      test.text(),
                      test.number(),
                      test.when(),
                      rule,
                      nextRule)));
      compiled.program.add(new Instruction(Operation.TAKE_ACTION, "", "", 0, null, rule, nextRule));
    }
    return compiled;
  }

  private List<Instruction> tests(RoutingConfiguration.Rule rule) {
    List<Instruction> tests = new ArrayList<>();
    if (rule.when() != null) {
      tests.add(
          new Instruction(
              Operation.WHEN_HOLDS, "", "", 0, RuleCondition.compile(rule.when()), null, 0));
    }
    RoutingConfiguration.Match match = rule.match();
    if (match == null) {
      return tests;
    }
    text(tests, Operation.MODEL_IS, "", match.model());
    text(tests, Operation.CLIENT_IS, "", match.client());
    text(tests, Operation.CLASS_IS, "", match.trafficClass());
    if (match.headers() != null) {
      match
          .headers()
          .forEach((name, value) -> text(tests, Operation.HEADER_IS, name.toLowerCase(), value));
    }
    number(tests, Operation.PROMPT_AT_MOST, match.maxPromptChars());
    number(tests, Operation.PROMPT_AT_LEAST, match.minPromptChars());
    return tests;
  }

  private static void text(List<Instruction> tests, Operation operation, String name, String text) {
    if (text != null) {
      tests.add(new Instruction(operation, name, text, 0, null, null, 0));
    }
  }

  private static void number(List<Instruction> tests, Operation operation, Integer number) {
    if (number != null) {
      tests.add(new Instruction(operation, "", "", number, null, null, 0));
    }
  }

  /** The way of the first rule that fits, or null. */
  public RoutingConfiguration.RoutingAction run(Subject subject) {
    int at = 0;
    while (at < program.size()) {
      Instruction instruction = program.get(at);
      boolean fits =
          switch (instruction.operation()) {
            case MODEL_IS -> Objects.equals(instruction.text(), subject.model());
            case CLIENT_IS -> Objects.equals(instruction.text(), subject.client());
            case CLASS_IS -> Objects.equals(instruction.text(), subject.trafficClass());
            case HEADER_IS ->
                Objects.equals(instruction.text(), subject.headers().get(instruction.name()));
            case PROMPT_AT_MOST -> subject.promptChars() <= instruction.number();
            case PROMPT_AT_LEAST -> subject.promptChars() >= instruction.number();
            case WHEN_HOLDS -> instruction.when().holds(subject);
            case TAKE_ACTION -> true;
          };
      if (instruction.operation() == Operation.TAKE_ACTION) {
        return instruction.rule().action();
      }
      at = fits ? at + 1 : instruction.elseGoTo();
    }
    return null;
  }

  private CompiledRules() {}
}

package applespindle.corelogic.configuration;

import dev.cel.common.CelIssue;
import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.MapType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.parser.CelStandardMacro;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.List;
import java.util.Map;

/**
 * The condition of a rule: an expression in CEL (Common Expression Language) over the properties of
 * a live request. Types are checked when the configuration is validated. Of the macros only has()
 * is available, so that an expression can't loop and its evaluation time is bounded by its length.
 *
 * <p>Immutable, safe for use by any thread.
 */
final class RuleCondition {
  /** Length of the longest expression, in characters. */
  static final int MAX_LENGTH = 500;

  /** Nesting depth of the deepest expression: bounds the parser's stack. */
  private static final int MAX_DEPTH = 32;

  private static final CelOptions OPTIONS =
      CelOptions.current()
          .maxExpressionCodePointSize(MAX_LENGTH)
          .maxParseRecursionDepth(MAX_DEPTH)
          .comprehensionMaxIterations(0)
          .build();
  private static final CelCompiler COMPILER =
      CelCompilerFactory.standardCelCompilerBuilder()
          .setOptions(OPTIONS)
          .setStandardMacros(CelStandardMacro.HAS)
          .addVar("model", SimpleType.STRING)
          .addVar("sender", SimpleType.STRING)
          .addVar("trafficClass", SimpleType.STRING)
          .addVar("promptChars", SimpleType.INT)
          .addVar("headers", MapType.create(SimpleType.STRING, SimpleType.STRING))
          .setResultType(SimpleType.BOOL)
          .build();
  private static final CelRuntime RUNTIME =
      CelRuntimeFactory.standardCelRuntimeBuilder().setOptions(OPTIONS).build();

  private final CelRuntime.Program program;

  private RuleCondition(CelRuntime.Program program) {
    this.program = program;
  }

  /** Returns the errors of an expression, each with its line and column; empty if it is valid. */
  static List<String> errorsOf(String text) {
    try {
      RUNTIME.createProgram(COMPILER.compile(text).getAst());
      return List.of();
    } catch (CelValidationException invalid) {
      return invalid.getErrors().stream().map(RuleCondition::describe).toList();
    } catch (CelEvaluationException invalid) {
      return List.of("can not be evaluated");
    }
  }

  private static String describe(CelIssue issue) {
    int line = issue.getSourceLocation().getLine();
    int column = issue.getSourceLocation().getColumn() + 1;
    return "line " + line + ", column " + column + ": " + issue.getMessage();
  }

  /**
   * Compiles an expression that {@link #errorsOf} found valid.
   *
   * @throws IllegalStateException if it is not valid
   */
  static RuleCondition compile(String text) {
    try {
      return new RuleCondition(RUNTIME.createProgram(COMPILER.compile(text).getAst()));
    } catch (CelValidationException | CelEvaluationException invalid) {
      throw new IllegalStateException("condition was not validated: " + text, invalid);
    }
  }

  /**
   * Returns whether the condition holds for a request. If its evaluation fails, for example as it
   * reads a header that the request lacks, the condition does not hold.
   */
  boolean holds(CompiledRules.Subject subject) {
    try {
      return Boolean.TRUE.equals(
          program.eval(
              Map.of(
                  "model",
                  subject.model() == null ? "" : subject.model(),
                  "sender",
                  subject.client(),
                  "trafficClass",
                  subject.trafficClass(),
                  "promptChars",
                  (long) subject.promptChars(),
                  "headers",
                  subject.headers())));
    } catch (CelEvaluationException failed) {
      return false;
    }
  }
}

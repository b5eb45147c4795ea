package applespindle.corelogic.configuration;

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
 * A rule's condition in CEL, checked for its types when the bundle is checked. Only the has()
 * macro: no loops.
 */
final class RuleCondition {
  static final int LENGTH_MOST = 500;
  private static final int DEPTH_MOST = 32;

  private static final CelOptions OPTIONS =
      CelOptions.current()
          .maxExpressionCodePointSize(LENGTH_MOST)
          .maxParseRecursionDepth(DEPTH_MOST)
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

  /** The faults of an expression, each with its line and column; none if it is good. */
  static List<String> errorsOf(String text) {
    try {
      RUNTIME.createProgram(COMPILER.compile(text).getAst());
      return List.of();
    } catch (CelValidationException fault) {
      return fault.getErrors().stream()
          .map(
              each ->
                  "line "
                      + each.getSourceLocation().getLine()
                      + ", column "
                      + (each.getSourceLocation().getColumn() + 1)
                      + ": "
                      + each.getMessage())
          .toList();
    } catch (CelEvaluationException fault) {
      return List.of("can not be evaluated");
    }
  }

  static RuleCondition compile(String text) {
    try {
      return new RuleCondition(RUNTIME.createProgram(COMPILER.compile(text).getAst()));
    } catch (CelValidationException | CelEvaluationException fault) {
      throw new IllegalStateException("an unchecked expression", fault);
    }
  }

  /**
   * An expression that fails on a request, such as by a header that is not there, does not hold for
   * it.
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
    } catch (CelEvaluationException fault) {
      return false;
    }
  }
}

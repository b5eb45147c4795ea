package applespindle.adapters;

/** Names of the log's files: what a file is, and a number of twelve digits, so that names sort. */
final class LogFileNames {
  private static final int NUMBER_DIGITS = 12;

  static String name(String prefix, long number, String suffix) {
    String digits = Long.toString(number);
    return prefix + "0".repeat(Math.max(0, NUMBER_DIGITS - digits.length())) + digits + suffix;
  }

  /** The number in a name of this form. */
  static long number(String name) {
    return Long.parseLong(name.substring(name.indexOf('-') + 1, name.indexOf('.')));
  }

  private LogFileNames() {}
}

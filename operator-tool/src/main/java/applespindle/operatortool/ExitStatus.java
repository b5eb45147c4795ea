package applespindle.operatortool;

/** The exit statuses of the operator tool. */
final class ExitStatus {
  /** The command was carried out. */
  static final int DONE = 0;

  /** The command was refused, not answered, or found something wrong. */
  static final int REFUSED = 1;

  /** The arguments or an input file can not be used. */
  static final int WRONG_USE = 2;

  private ExitStatus() {}
}

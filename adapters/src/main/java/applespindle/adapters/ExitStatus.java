package applespindle.adapters;

/** The exit statuses of all programs; whoever starts one may rely on them. */
public enum ExitStatus {
  /** All was done. */
  DONE(0),

  /** A server refused the command, or a check found something wrong. */
  REFUSED(1),

  /** The arguments, the settings or the startup options can not be used. */
  WRONG_USE(2),

  /** The data folder failed while the process ran. */
  DISK_FAILED(3),

  /** The process was stopped before it had handed over all its work. */
  UNFINISHED(4),

  /** An input file can not be read or used, or an output file can not be written. */
  UNUSABLE_FILE(5),

  /** No response came from a server. */
  NO_RESPONSE(6);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** The number that the operating system is given. */
  public int code() {
    return code;
  }
}

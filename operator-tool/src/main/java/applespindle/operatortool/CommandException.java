package applespindle.operatortool;

import applespindle.adapters.ExitStatus;

/** A command that can not be carried out, for a reason that its operator can mend. */
final class CommandException extends Exception {
  private static final long serialVersionUID = 1;

  private final ExitStatus status;

  /**
   * A failed command.
   *
   * @param message what is wrong and where; it is printed as it stands
   */
  CommandException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  ExitStatus status() {
    return status;
  }
}

package applespindle.corelogic.log;

/** The bytes of a record can't be read from the disk. */
public final class PayloadUnavailableException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** A payload of which only the start is held. */
  public PayloadUnavailableException(String reason) {
    super(reason);
  }

  /** A read that failed, with what the disk said. */
  public PayloadUnavailableException(Throwable cause) {
    super("a record can't be read from the disk", cause);
  }
}

package applespindle.testfleet.simulation;

/** The bandwidth of one simulated machine; frames that share a direction follow each other. */
public final class SimulatedLink {
  private static final double BYTES_PER_MS_AT_ONE_MBIT = 125;

  /** Each way; 0: unlimited. */
  private long bytesPerMs;

  /** Never before the end of a frame that was already sent or received. */
  private long outboundFreeUs;

  private long inboundFreeUs;

  /** Limits the link to a bandwidth in Mbit/s. */
  public void megabits(double perSecond) {
    bytesPerMs = (long) (perSecond * BYTES_PER_MS_AT_ONE_MBIT);
  }

  void bytesPerMs(long bytes) {
    bytesPerMs = bytes;
  }

  boolean limited() {
    return bytesPerMs > 0;
  }

  /** How long a frame takes over both links, behind the frames that are on them already. */
  long transferUs(SimulatedLink to, int bytes, long nowUs) {
    outboundFreeUs = Math.max(nowUs, outboundFreeUs) + ownTransferUs(bytes);
    to.inboundFreeUs = Math.max(outboundFreeUs, to.inboundFreeUs) + to.ownTransferUs(bytes);
    return to.inboundFreeUs - nowUs;
  }

  private long ownTransferUs(int bytes) {
    return limited() ? bytes * EventQueue.US_PER_MS / bytesPerMs : 0;
  }
}

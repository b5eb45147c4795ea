package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Frame;
import applespindle.corelogic.log.FramedEvent;
import java.util.List;

/** Where the contents of the items or results of one event are in the batch's log. */
final class EventParts {
  static final EventParts NONE = new EventParts(0, 0, null);

  private final long sequence;
  private final int eventBytes;

  /** Null if the event has no frames. */
  private final List<Frame> frames;

  /**
   * The parts of an event.
   *
   * @param eventBytes the size of the stored event
   * @param frames as its header names them; null if it has none
   */
  EventParts(long sequence, int eventBytes, List<Frame> frames) {
    this.sequence = sequence;
    this.eventBytes = eventBytes;
    this.frames = frames;
  }

  /** Where the item or result at this position of the event is. */
  EventPart part(int position) {
    if (frames == null) {
      return new EventPart(new EventPart.Section(sequence, 0, eventBytes, false), position);
    }
    int offset = FramedEvent.firstFrameOffset(eventBytes, frameBytes());
    int first = 0;
    for (Frame frame : frames) {
      if (position < first + frame.parts()) {
        var section = new EventPart.Section(sequence, offset, frame.bytes(), true);
        return new EventPart(section, position - first);
      }
      first += frame.parts();
      offset += frame.bytes();
    }
    throw new IndexOutOfBoundsException("the frames of an event hold fewer parts than it has");
  }

  private int frameBytes() {
    return frames.stream().mapToInt(Frame::bytes).sum();
  }
}

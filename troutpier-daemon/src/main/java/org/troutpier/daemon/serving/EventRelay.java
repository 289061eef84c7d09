package org.troutpier.daemon.serving;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.upstream.EventFrames;

/**
 * Hands a stream's events to a caller, whole and in order, over all the runs that the stream is
 * made of. Confined to the traffic loop. Invariant: the ids that a caller gets rise by one.
 */
final class EventRelay {

    /** What begins the line with an event's id. */
    private static final String ID_FIELD = "id:";

    /** The caller. */
    private final CallerChannel mCaller;

    /** Cuts the run's bytes into events. */
    private EventFrames mParser = new EventFrames();

    /** The last event that the caller has, if any. */
    private OptionalLong mLastEventId;

    /** How many events were handed on. */
    private long mEventCount;

    /**
     * Creates a relay.
     *
     * @param caller the caller
     * @param last the last event that the caller says it has, if any
     */
    EventRelay(CallerChannel caller, OptionalLong last) {
        mCaller = caller;
        mLastEventId = last;
    }

    /** Begins with the bytes of another run. */
    void startRun() {
        mParser = new EventFrames();
    }

    /**
     * Takes bytes of the run and hands on each whole event.
     *
     * @param bytes the bytes
     * @throws TroutpierException when an event is out of order or cannot be read
     */
    void feed(byte[] bytes) {
        mParser.feed(bytes, this::relay);
    }

    /**
     * Returns whether the run's bytes end between two events.
     *
     * @return whether an end now would be whole
     */
    boolean atEventBoundary() {
        return !mParser.insideEvent();
    }

    /**
     * Returns the last event that the caller has.
     *
     * @return its id, if there is one
     */
    OptionalLong lastEventId() {
        return mLastEventId;
    }

    /**
     * Returns how many events were handed on.
     *
     * @return the count
     */
    long eventCount() {
        return mEventCount;
    }

    /**
     * Hands one event on.
     *
     * @param event its bytes, with the blank line that ends it
     */
    private void relay(byte[] event) {
        OptionalLong id = parseId(event);
        if (id.isPresent()) {
            boolean inOrder =
                    mLastEventId.isEmpty() || id.getAsLong() == mLastEventId.getAsLong() + 1;
            if (!inOrder) {
                throw new TroutpierException(
                        ResultCode.UPSTREAM_FAILED,
                        "event " + id.getAsLong() + " came after " + mLastEventId.getAsLong());
            }
            mLastEventId = id;
        }
        mEventCount++;
        mCaller.write(event);
    }

    /**
     * Finds an event's id.
     *
     * @param event its bytes
     * @return the id, if it has one
     */
    private static OptionalLong parseId(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        int from = text.startsWith(ID_FIELD) ? 0 : text.indexOf("\n" + ID_FIELD) + 1;
        if (from == 0 && !text.startsWith(ID_FIELD)) {
            return OptionalLong.empty();
        }
        int end = text.indexOf('\n', from);
        try {
            return OptionalLong.of(
                    Long.parseLong(text.substring(from + ID_FIELD.length(), end).trim()));
        } catch (NumberFormatException exception) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED, "an event's id is no number", exception);
        }
    }
}

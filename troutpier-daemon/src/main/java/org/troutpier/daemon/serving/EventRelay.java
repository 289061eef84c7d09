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
    private EventFrames mFrames = new EventFrames();

    /** The last event that the caller has, if any. */
    private OptionalLong mLast;

    /** How many events were handed on. */
    private long mEvents;

    /**
     * Creates a relay.
     *
     * @param caller the caller
     * @param last the last event that the caller says it has, if any
     */
    EventRelay(CallerChannel caller, OptionalLong last) {
        mCaller = caller;
        mLast = last;
    }

    /** Begins with the bytes of another run. */
    void beginRun() {
        mFrames = new EventFrames();
    }

    /**
     * Takes bytes of the run and hands on each whole event.
     *
     * @param bytes the bytes
     * @throws TroutpierException when an event is out of order or cannot be read
     */
    void feed(byte[] bytes) {
        mFrames.feed(bytes, this::event);
    }

    /**
     * Returns whether the run's bytes end between two events.
     *
     * @return whether an end now would be whole
     */
    boolean betweenEvents() {
        return !mFrames.insideEvent();
    }

    /**
     * Returns the last event that the caller has.
     *
     * @return its id, if there is one
     */
    OptionalLong last() {
        return mLast;
    }

    /**
     * Returns how many events were handed on.
     *
     * @return the count
     */
    long events() {
        return mEvents;
    }

    /**
     * Hands one event on.
     *
     * @param event its bytes, with the blank line that ends it
     */
    private void event(byte[] event) {
        OptionalLong id = id(event);
        if (id.isPresent()) {
            boolean inOrder = mLast.isEmpty() || id.getAsLong() == mLast.getAsLong() + 1;
            if (!inOrder) {
                throw new TroutpierException(
                        ResultCode.UPSTREAM_FAILED,
                        "event " + id.getAsLong() + " came after " + mLast.getAsLong());
            }
            mLast = id;
        }
        mEvents++;
        mCaller.write(event);
    }

    /**
     * Finds an event's id.
     *
     * @param event its bytes
     * @return the id, if it has one
     */
    private static OptionalLong id(byte[] event) {
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

package org.troutpier.daemon.serving;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.upstream.ServerSentEventSplitter;

/**
 * Relays a stream's events to a caller, complete and in order, across all runs that produce the
 * stream. Confined to the traffic loop. Invariant: the event ids that a caller receives are
 * consecutive.
 */
final class EventRelay {

    private static final String ID_FIELD = "id:";

    private final CallerChannel mCaller;

    private final Runnable mBeforeFirstEvent;

    /** Splits the bytes of the current run into events. */
    private ServerSentEventSplitter mParser = new ServerSentEventSplitter();

    /** The id of the last event that the caller has, if any. */
    private OptionalLong mLastEventId;

    private long mEventCount;

    /**
     * Creates a relay.
     *
     * @param lastEventId the id of the last event that the caller says it has, if any
     * @param beforeFirstEvent runs before the first event is relayed
     */
    EventRelay(CallerChannel caller, OptionalLong lastEventId, Runnable beforeFirstEvent) {
        mBeforeFirstEvent = beforeFirstEvent;
        mCaller = caller;
        mLastEventId = lastEventId;
    }

    /** Starts with the bytes of another run; an incomplete event of the run before is dropped. */
    void startRun() {
        mParser = new ServerSentEventSplitter();
    }

    /**
     * Accepts bytes of the run and relays each event that they complete.
     *
     * @throws TroutpierException when an event is out of order or has a malformed id
     */
    void feed(byte[] bytes) {
        mParser.feed(bytes, this::relay);
    }

    /** Returns whether the bytes so far end between two events, so that the stream may end here. */
    boolean atEventBoundary() {
        return !mParser.hasPartialEvent();
    }

    /** Returns the id of the last event that the caller has, if any. */
    OptionalLong lastEventId() {
        return mLastEventId;
    }

    /** Returns how many events were relayed, over all runs. */
    long eventCount() {
        return mEventCount;
    }

    /**
     * Relays one event.
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
        if (mEventCount++ == 0) {
            mBeforeFirstEvent.run();
        }
        mCaller.write(event);
    }

    /** Returns an event's id, if it has one. */
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

package org.troutpier.daemon.serving;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.ServerSentEventSplitter;

/**
 * Relays a stream's events to a caller, complete and in order, across all runs that produce the
 * stream. Confined to the traffic loop. Invariant: the event ids that a caller receives are
 * consecutive.
 */
final class EventRelay {

    private static final String ID_FIELD = "id:";

    private final CallerChannel mCaller;

    private final Consumer<UpstreamEntry> mBeforeFirstEvent;

    /** The id of the last event that the caller has, if any. */
    private OptionalLong mLastEventId;

    private long mEventCount;

    /**
     * Creates a relay.
     *
     * @param lastEventId the id of the last event that the caller says it has, if any
     * @param beforeFirstEvent receives the engine that wrote the first event, before that is
     *     relayed
     */
    EventRelay(
            CallerChannel caller,
            OptionalLong lastEventId,
            Consumer<UpstreamEntry> beforeFirstEvent) {
        mBeforeFirstEvent = beforeFirstEvent;
        mCaller = caller;
        mLastEventId = lastEventId;
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
     * Returns the id of an event that may be relayed next.
     *
     * @return the id, if the event has one
     * @throws TroutpierException when the event is out of order or its id is malformed
     */
    private OptionalLong nextId(byte[] event) {
        OptionalLong id = parseId(event);
        boolean inOrder =
                id.isEmpty()
                        || mLastEventId.isEmpty()
                        || id.getAsLong() == mLastEventId.getAsLong() + 1;
        if (!inOrder) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED,
                    "event " + id.getAsLong() + " came after " + mLastEventId.getAsLong());
        }
        return id;
    }

    /**
     * Relays one event.
     *
     * @param event its bytes, with the blank line that ends it
     */
    private void relay(byte[] event, OptionalLong id, UpstreamEntry engine) {
        if (id.isPresent()) {
            mLastEventId = id;
        }
        if (mEventCount++ == 0) {
            mBeforeFirstEvent.accept(engine);
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

    /**
     * The bytes of one run. Confined to the traffic loop. Invariant: bytes of different runs never
     * form one event.
     */
    final class Source {

        private final UpstreamEntry mEngine;

        private final ServerSentEventSplitter mSplitter = new ServerSentEventSplitter();

        /**
         * Creates the source of a run that continues after the last event relayed.
         *
         * @param engine the engine of the run
         */
        Source(UpstreamEntry engine) {
            mEngine = engine;
        }

        /**
         * Accepts bytes of the run and relays each event that they complete.
         *
         * @param filter receives for each event that is in order whether it has an id, and returns
         *     whether it is relayed
         * @throws TroutpierException when an event is out of order or has a malformed id
         */
        void feed(byte[] bytes, Predicate<Boolean> filter) {
            mSplitter.feed(
                    bytes,
                    event -> {
                        OptionalLong id = nextId(event);
                        if (filter.test(id.isPresent())) {
                            relay(event, id, mEngine);
                        }
                    });
        }

        /**
         * Returns whether the bytes so far end between two events, so that the run may end here.
         */
        boolean atEventBoundary() {
            return !mSplitter.hasPartialEvent();
        }
    }
}

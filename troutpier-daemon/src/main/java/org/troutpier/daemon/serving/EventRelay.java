package org.troutpier.daemon.serving;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.troutpier.common.eventstream.ServerSentEvent;
import org.troutpier.common.eventstream.ServerSentEventSplitter;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Relays a stream's events to a caller, complete and in order, across all runs that produce the
 * stream. Confined to the traffic loop. Invariant: the event ids that a caller receives rise. Ids
 * need not be consecutive, so an event that an upstream leaves out is only counted.
 */
final class EventRelay {

    private static final byte[] LINE_FEED = {'\n'};

    private final CallerChannel mCaller;

    private final Consumer<UpstreamEntry> mBeforeFirstEvent;

    /** The id of the last event that the caller has, if any. */
    private OptionalLong mLastEventId;

    private long mEventCount;

    private long mIdGaps;

    /** Whether the caller has bytes of this answer. */
    private boolean mStarted;

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

    /** Returns how many events had an id that did not follow the one before by one. */
    long idGaps() {
        return mIdGaps;
    }

    /**
     * Returns the id of an event that may be relayed next.
     *
     * @return the id, if the event has one
     * @throws TroutpierException when the event is out of order or its id is malformed
     */
    private OptionalLong nextId(ServerSentEvent event) {
        OptionalLong id = parseId(event);
        boolean inOrder =
                id.isEmpty() || mLastEventId.isEmpty() || id.getAsLong() > mLastEventId.getAsLong();
        if (!inOrder) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED,
                    "event " + id.getAsLong() + " came after " + mLastEventId.getAsLong());
        }
        return id;
    }

    /** Relays one event. */
    private void relay(ServerSentEvent event, OptionalLong id, UpstreamEntry engine) {
        if (id.isPresent()) {
            boolean gap =
                    mLastEventId.isPresent() && id.getAsLong() - 1 != mLastEventId.getAsLong();
            mIdGaps += gap ? 1 : 0;
            mLastEventId = id;
        }
        if (mEventCount++ == 0) {
            mBeforeFirstEvent.accept(engine);
        }
        write(event);
    }

    /** Writes an event or comment; a byte order mark only where the caller has nothing yet. */
    private void write(ServerSentEvent event) {
        mCaller.write(mStarted ? event.bytesWithoutMark() : event.bytes());
        mStarted = true;
    }

    /** Returns an event's id, if it has one. */
    private static OptionalLong parseId(ServerSentEvent event) {
        Optional<String> id = event.id();
        try {
            return id.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(id.get().strip()));
        } catch (NumberFormatException exception) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED,
                    "event id '" + id.get() + "' is no number",
                    exception);
        }
    }

    /** Decides which parts of a run are relayed. */
    @FunctionalInterface
    interface Filter {

        /**
         * Returns whether to relay an event that is in order.
         *
         * @param numbered whether the event has an id
         */
        boolean relaysEvent(boolean numbered);

        /** Returns whether to relay a comment. */
        default boolean relaysComment() {
            return true;
        }
    }

    /**
     * The bytes of one run. Confined to the traffic loop. Invariant: bytes of different runs never
     * form one event.
     */
    final class Source {

        private final UpstreamEntry mEngine;

        private final ServerSentEventSplitter mSplitter = new ServerSentEventSplitter();

        /** Whether the last event or comment of the run was relayed. */
        private boolean mLastRelayed;

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
         * @throws TroutpierException when an event is out of order, too long or has a malformed id
         */
        void feed(byte[] bytes, Filter filter) {
            mSplitter.feed(
                    bytes,
                    new ServerSentEventSplitter.Listener() {

                        /** {@inheritDoc} */
                        @Override
                        public void onEvent(ServerSentEvent event) {
                            mLastRelayed = accept(event, filter);
                        }

                        /** {@inheritDoc} */
                        @Override
                        public void onTrailingLineFeed() {
                            if (mLastRelayed) {
                                mCaller.write(LINE_FEED);
                            }
                        }
                    });
        }

        /** Relays an event or comment, if the filter allows it; returns whether it was relayed. */
        private boolean accept(ServerSentEvent event, Filter filter) {
            if (event.isComment()) {
                if (filter.relaysComment()) {
                    write(event);
                    return true;
                }
                return false;
            }
            OptionalLong id = nextId(event);
            if (filter.relaysEvent(id.isPresent())) {
                relay(event, id, mEngine);
                return true;
            }
            return false;
        }

        /**
         * Returns whether the bytes so far end between two events, so that the run may end here.
         */
        boolean atEventBoundary() {
            return !mSplitter.hasPartialEvent();
        }
    }
}

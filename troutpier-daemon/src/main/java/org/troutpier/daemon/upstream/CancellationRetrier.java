package org.troutpier.daemon.upstream;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.node.Node;

/**
 * Cancels attempts at engines until the engine confirms or is gone. Confined to the control thread.
 * Invariant: an attempt that was given to {@link #cancel} is tried until one of these holds.
 */
public final class CancellationRetrier {

    /** The first wait between two tries, milliseconds. */
    private static final long FIRST_WAIT = 100;

    /** The longest wait between two tries, milliseconds. */
    private static final long LONGEST_WAIT = 2000;

    /** How many refused connections in a row mean that the engine's process is gone. */
    private static final int REFUSALS = 5;

    /** How many tries are made at most. */
    private static final int MOST_TRIES = 400;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The engines. */
    private final Engines mEngines;

    /** What is not confirmed yet. */
    private final Map<Key, Pending> mPending = new HashMap<>();

    /**
     * Names an attempt at an engine.
     *
     * @param engine the engine
     * @param attempt the attempt
     */
    private record Key(UpstreamId engine, String attempt) {}

    /** A cancel that is not confirmed yet. */
    private static final class Pending {

        /** How many tries were made. */
        private int mTries;

        /** How many connections were refused in a row. */
        private int mRefusals;

        /** The wait before the next try, milliseconds. */
        private long mWait = FIRST_WAIT;
    }

    /**
     * Creates a store.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param engines the engines
     */
    public CancellationRetrier(Node node, Engines engines) {
        mNode = node;
        mEngines = engines;
    }

    /**
     * Cancels an attempt.
     *
     * @param engine the engine
     * @param attempt the attempt
     */
    public void cancel(UpstreamDeclaration engine, String attempt) {
        Key key = new Key(engine.id(), attempt);
        if (mPending.putIfAbsent(key, new Pending()) == null) {
            attempt(engine, key);
        }
    }

    /**
     * Returns whether an attempt is being cancelled.
     *
     * @param engine the engine
     * @param attempt the attempt
     * @return whether it is not confirmed yet
     */
    public boolean cancelling(UpstreamId engine, String attempt) {
        return mPending.containsKey(new Key(engine, attempt));
    }

    /**
     * Counts what is not confirmed yet.
     *
     * @return the count
     */
    public int pending() {
        return mPending.size();
    }

    /**
     * Tries once.
     *
     * @param engine the engine
     * @param key the attempt
     */
    private void attempt(UpstreamDeclaration engine, Key key) {
        mNode.count("cancel.tries");
        mEngines.cancel(engine, key.attempt())
                .whenComplete(
                        (confirmed, failure) ->
                                mNode.control()
                                        .execute(() -> heard(engine, key, confirmed, failure)));
    }

    /**
     * Goes on after a try.
     *
     * @param engine the engine
     * @param key the attempt
     * @param confirmed whether the engine confirmed, or null
     * @param failure why there was no answer, or null
     */
    private void heard(UpstreamDeclaration engine, Key key, Boolean confirmed, Throwable failure) {
        Pending pending = mPending.get(key);
        if (Boolean.TRUE.equals(confirmed)) {
            mPending.remove(key);
            mNode.count("cancel.confirmed");
            return;
        }
        Throwable cause =
                failure instanceof java.util.concurrent.CompletionException
                        ? failure.getCause()
                        : failure;
        boolean refused = cause instanceof CallFailedException failed && !failed.mayHaveBeenSent();
        pending.mRefusals = refused ? pending.mRefusals + 1 : 0;
        pending.mTries++;
        if (pending.mRefusals >= REFUSALS || pending.mTries >= MOST_TRIES) {
            mPending.remove(key);
            mNode.count("cancel.engine-gone");
            return;
        }
        mNode.control().later(() -> attempt(engine, key), pending.mWait);
        pending.mWait = Math.min(LONGEST_WAIT, pending.mWait * 2);
    }
}

package org.troutpier.daemon.upstream;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.node.Node;

/**
 * Retries the cancellation of attempts at engines until the engine confirms it, its process counts
 * as terminated, or {@link #MAX_TRIES} is reached. Confined to the control thread.
 */
public final class CancellationRetrier {

    private static final long INITIAL_DELAY_MILLIS = 100;

    private static final long MAX_DELAY_MILLIS = 2000;

    /**
     * Consecutive calls that certainly were not sent, as on a refused connection, after which the
     * engine's process counts as terminated.
     */
    private static final int MAX_CONSECUTIVE_REFUSALS = 5;

    private static final int MAX_TRIES = 400;

    private final Node mNode;

    private final EngineClient mEngineClient;

    /** The cancellations that are not confirmed yet. */
    private final Map<Key, Pending> mPending = new HashMap<>();

    /** Identifies an attempt at an engine. */
    private record Key(UpstreamId engine, String attempt) {}

    /** A cancellation that is not confirmed yet. */
    private static final class Pending {

        private int mTries;

        /** Consecutive calls that certainly were not sent. */
        private int mRefusals;

        /** The delay before the next try, milliseconds. */
        private long mDelayMillis = INITIAL_DELAY_MILLIS;
    }

    /** Creates a retrier without pending cancellations. */
    public CancellationRetrier(Node node, EngineClient engines) {
        mNode = node;
        mEngineClient = engines;
    }

    /** Starts to cancel an attempt; does nothing if its cancellation is already pending. */
    public void cancel(UpstreamDeclaration engine, String attempt) {
        Key key = new Key(engine.id(), attempt);
        if (mPending.putIfAbsent(key, new Pending()) == null) {
            attempt(engine, key);
        }
    }

    /** Returns whether the cancellation of an attempt is pending. */
    public boolean isCancelling(UpstreamId engine, String attempt) {
        return mPending.containsKey(new Key(engine, attempt));
    }

    /** Returns the number of pending cancellations. */
    public int pendingCount() {
        return mPending.size();
    }

    private void attempt(UpstreamDeclaration engine, Key key) {
        mNode.count("cancel.tries");
        mEngineClient
                .cancel(engine, key.attempt())
                .whenComplete(
                        (confirmed, failure) ->
                                mNode.control()
                                        .execute(() -> onResult(engine, key, confirmed, failure)));
    }

    /**
     * Handles the result of a try.
     *
     * @param engine the engine
     * @param key the attempt
     * @param confirmed whether the engine confirmed, or null on failure
     * @param failure the failure, or null
     */
    private void onResult(
            UpstreamDeclaration engine, Key key, Boolean confirmed, Throwable failure) {
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
        if (pending.mRefusals >= MAX_CONSECUTIVE_REFUSALS || pending.mTries >= MAX_TRIES) {
            mPending.remove(key);
            mNode.count("cancel.engine-gone");
            return;
        }
        mNode.control().schedule(() -> attempt(engine, key), pending.mDelayMillis);
        pending.mDelayMillis = Math.min(MAX_DELAY_MILLIS, pending.mDelayMillis * 2);
    }
}

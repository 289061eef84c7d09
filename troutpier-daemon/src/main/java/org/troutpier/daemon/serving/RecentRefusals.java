package org.troutpier.daemon.serving;

import java.util.function.Consumer;
import org.troutpier.common.collection.ExpiringMap;

/**
 * Remembers which requests any router refused recently, by the part of the prompt that is specific
 * to the request, to recognise the retries of their callers. Confined to the traffic loop.
 * Invariant: bounded in number and age.
 */
public final class RecentRefusals {

    /**
     * How long a refusal is remembered, milliseconds: longer than callers are asked to wait before
     * they retry, except in a long back-off or with more than 20 seconds left for the request.
     */
    private static final long RETENTION_MILLIS = 7000;

    private static final int MAX_ENTRIES = 20_000;

    private final ExpiringMap<String, Boolean> mRefused =
            new ExpiringMap<>(MAX_ENTRIES, RETENTION_MILLIS);

    private volatile Consumer<String> mListener = key -> {};

    /**
     * Sets the listener that announces refusals to the other routers.
     *
     * @param listener receives the key of each request that this router refuses, on the traffic
     *     loop
     */
    public void onRefusal(Consumer<String> listener) {
        mListener = listener;
    }

    /**
     * Records a refusal by this router.
     *
     * @param now the monotonic clock, milliseconds
     */
    void recordRefusal(PromptMetadata prompt, long now) {
        String key = prompt.ownPartId();
        if (!key.isEmpty()) {
            recordPeerRefusal(key, now);
            mListener.accept(key);
        }
    }

    /**
     * Records a refusal by any router.
     *
     * @param key the id of the prompt part that is specific to the request
     * @param now the monotonic clock, milliseconds
     */
    public void recordPeerRefusal(String key, long now) {
        mRefused.put(key, Boolean.TRUE, now);
    }

    /**
     * Returns whether a request was refused recently.
     *
     * @param now the monotonic clock, milliseconds
     */
    boolean isReturning(PromptMetadata prompt, long now) {
        return mRefused.contains(prompt.ownPartId(), now);
    }
}

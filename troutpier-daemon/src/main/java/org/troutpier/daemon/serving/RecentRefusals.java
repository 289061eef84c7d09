package org.troutpier.daemon.serving;

import java.util.function.Consumer;
import org.troutpier.common.collection.AgingMap;

/**
 * Remembers which requests any router refused lately, by the part of the prompt that is the
 * request's own, so that one that comes back as told is recognised. Confined to the traffic loop.
 * Invariant: bounded in number and age.
 */
public final class RecentRefusals {

    /** How long a refusal is remembered, milliseconds: longer than callers are sent away for. */
    private static final long RETENTION_MILLIS = 7000;

    /** How many refusals are remembered. */
    private static final int MAX_ENTRIES = 20_000;

    /** The keys that were refused. */
    private final AgingMap<String, Boolean> mRefused =
            new AgingMap<>(MAX_ENTRIES, RETENTION_MILLIS);

    /** Tells the other routers of a refusal. */
    private volatile Consumer<String> mListener = key -> {};

    /**
     * Sets who tells the other routers.
     *
     * @param teller takes the key of each refused request, on the traffic loop
     */
    public void onRefusal(Consumer<String> teller) {
        mListener = teller;
    }

    /**
     * Records a refusal by this router.
     *
     * @param prompt the request's prompt
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
     * @param key the request's own part
     * @param now the monotonic clock, milliseconds
     */
    public void recordPeerRefusal(String key, long now) {
        mRefused.put(key, Boolean.TRUE, now);
    }

    /**
     * Returns whether a request was refused lately.
     *
     * @param prompt the request's prompt
     * @param now the monotonic clock, milliseconds
     * @return whether it comes back
     */
    boolean isReturning(PromptMetadata prompt, long now) {
        return mRefused.contains(prompt.ownPartId(), now);
    }
}

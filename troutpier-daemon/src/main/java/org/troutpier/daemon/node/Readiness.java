package org.troutpier.daemon.node;

import java.util.Optional;
import org.troutpier.common.event.EventRing;

/**
 * Whether this router takes new work. Thread safe. Invariant: it takes none without a
 * configuration, while it stops, or while it is fenced.
 */
public final class Readiness {

    /** Takes note of changes. */
    private final EventRing mEvents;

    /** Whether a configuration was seen. */
    private volatile boolean mConfigured;

    /** Whether a stop was ordered. */
    private volatile boolean mStopping;

    /** Why the router has fenced itself, or null. */
    private volatile String mFence;

    /**
     * Creates the state of a router that starts.
     *
     * @param events takes note of changes
     */
    public Readiness(EventRing events) {
        mEvents = events;
    }

    /**
     * Says why no new work is taken.
     *
     * @return the reason, or empty where work is taken
     */
    public Optional<String> obstacle() {
        if (mStopping) {
            return Optional.of("stopping");
        }
        if (!mConfigured) {
            return Optional.of("no configuration yet");
        }
        return Optional.ofNullable(mFence);
    }

    /** Takes note that a configuration is there. */
    public void setConfigured() {
        mConfigured = true;
    }

    /** Takes note that a stop was ordered. */
    public void setStopping() {
        mStopping = true;
        mEvents.record("stopping", "", "");
    }

    /**
     * Returns whether a stop was ordered.
     *
     * @return whether the router is leaving
     */
    public boolean isStopping() {
        return mStopping;
    }

    /**
     * Fences the router.
     *
     * @param reason why
     */
    public void fence(String reason) {
        if (mFence == null) {
            mEvents.record("fenced", "", reason);
        }
        mFence = reason;
    }

    /** Lifts the fence. */
    public void liftFence() {
        if (mFence != null) {
            mEvents.record("fence-lifted", "", mFence);
        }
        mFence = null;
    }

    /**
     * Returns whether the router is fenced.
     *
     * @return whether it waits for revalidation
     */
    public boolean isFenced() {
        return mFence != null;
    }
}

package org.troutpier.daemon.request;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.PartnerId;

/**
 * Bounds retries to a share of a partner's first tries, so that a fault does not become a storm.
 * Thread safe by its lock. Invariant: at any moment a partner's retries are at most a tenth of its
 * first tries.
 */
public final class RetryBudget {

    /** How much of a retry each first try earns. */
    public static final double SHARE = 0.1;

    /** How many retries may be saved up. */
    private static final double MOST_SAVED = 200;

    /** What each partner has saved up. */
    private final Map<PartnerId, Double> mSaved = new HashMap<>();

    /**
     * Takes note of a first try.
     *
     * @param partner whose it is
     */
    public synchronized void firstTry(PartnerId partner) {
        mSaved.merge(partner, SHARE, (saved, more) -> Math.min(MOST_SAVED, saved + more));
    }

    /**
     * Asks for a retry.
     *
     * @param partner whose it is
     * @return whether it may be made
     */
    public synchronized boolean retry(PartnerId partner) {
        final double whole = 1 - 1e-9;
        double saved = mSaved.getOrDefault(partner, 0.0);
        if (saved < whole) {
            return false;
        }
        mSaved.put(partner, Math.max(0, saved - 1));
        return true;
    }
}

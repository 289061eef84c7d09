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
    public static final double EARNED_PER_FIRST_ATTEMPT = 0.1;

    /** How many retries may be saved up. */
    private static final double MAX_BALANCE = 200;

    /** What each partner has saved up. */
    private final Map<PartnerId, Double> mBalances = new HashMap<>();

    /**
     * Takes note of a first try.
     *
     * @param partner whose it is
     */
    public synchronized void recordFirstAttempt(PartnerId partner) {
        mBalances.merge(
                partner,
                EARNED_PER_FIRST_ATTEMPT,
                (balance, earned) -> Math.min(MAX_BALANCE, balance + earned));
    }

    /**
     * Asks for a retry.
     *
     * @param partner whose it is
     * @return whether it may be made
     */
    public synchronized boolean tryAcquire(PartnerId partner) {
        final double oneRetry = 1 - 1e-9;
        double balance = mBalances.getOrDefault(partner, 0.0);
        if (balance < oneRetry) {
            return false;
        }
        mBalances.put(partner, Math.max(0, balance - 1));
        return true;
    }
}

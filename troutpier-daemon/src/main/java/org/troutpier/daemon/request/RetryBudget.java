package org.troutpier.daemon.request;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.PartnerId;

/**
 * Limits the retries of each partner to a fraction of its first attempts, so that failures do not
 * cause a retry storm. Thread safe by its lock. Invariant: a partner's retries never exceed a tenth
 * of its first attempts.
 */
public final class RetryBudget {

    /** Number of retries that each first attempt earns. */
    public static final double EARNED_PER_FIRST_ATTEMPT = 0.1;

    /** Maximum number of unused retries that a partner can accumulate. */
    private static final double MAX_BALANCE = 200;

    /** Unused retries by partner. */
    private final Map<PartnerId, Double> mBalances = new HashMap<>();

    /** Records the first attempt of a request. */
    public synchronized void recordFirstAttempt(PartnerId partner) {
        mBalances.merge(
                partner,
                EARNED_PER_FIRST_ATTEMPT,
                (balance, earned) -> Math.min(MAX_BALANCE, balance + earned));
    }

    /**
     * Takes one retry from the budget of a partner.
     *
     * @return whether the retry is allowed
     */
    public synchronized boolean tryAcquire(PartnerId partner) {
        // ten times 0.1 may add up to slightly less than 1
        final double oneRetry = 1 - 1e-9;
        double balance = mBalances.getOrDefault(partner, 0.0);
        if (balance < oneRetry) {
            return false;
        }
        mBalances.put(partner, Math.max(0, balance - 1));
        return true;
    }

    /** Gives back a retry that was taken and not used. */
    public synchronized void giveBack(PartnerId partner) {
        mBalances.merge(partner, 1.0, (balance, one) -> Math.min(MAX_BALANCE, balance + one));
    }
}

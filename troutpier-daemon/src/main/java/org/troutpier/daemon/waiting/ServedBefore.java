package org.troutpier.daemon.waiting;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;

/**
 * Adds up the capacity that waiting requests are given before one claim: all of an earlier tier or
 * of the same tier and more urgent; of the same urgency, those of the own organisation that have to
 * start earlier, and of each other organisation as much as it is given in turn until the claim is
 * served. Not thread safe; used for one claim and discarded. Invariant: requests that are served
 * after the claim add nothing.
 */
public final class ServedBefore {

    private final Claim mClaim;

    private final long mNow;

    /** The cost of earlier tiers and of more urgent requests. */
    private double mPreceding;

    /** The cost of the own organisation's requests that have to start earlier. */
    private double mOwnOrganisation;

    /** The cost of the other organisations' requests of the same tier and urgency. */
    private Map<PartnerId, Double> mOtherOrganisations = Map.of();

    /**
     * Creates a sum without any requests.
     *
     * @param now the time on the clock of the claim's latest start, milliseconds
     */
    public ServedBefore(Claim claim, long now) {
        mClaim = claim;
        mNow = now;
    }

    /** Adds a request that waits at this router. */
    public void add(Claim other) {
        add(
                other.tier(),
                other.flow().rank(),
                other.flow().organisation(),
                other.latestStartMillis(),
                other.cost());
    }

    /**
     * Adds the requests that wait for a service at other routers.
     *
     * @param service the service of the claim
     * @param waitingTokens the prompt tokens of all requests that wait at these routers; what
     *     exceeds the entries waits at routers that report no entries, and counts as served before
     */
    public void add(WaitingReport report, String service, double waitingTokens) {
        double unlisted = waitingTokens;
        for (WaitingReport.Entry entry : report.entries()) {
            unlisted -= entry.cost();
            if (entry.service().equals(service)) {
                add(
                        entry.tier(),
                        entry.rank(),
                        entry.organisation(),
                        mNow + entry.latestStartMillis(),
                        entry.cost());
            }
        }
        mPreceding += Math.max(0, unlisted);
    }

    private void add(
            QueueTier tier, int rank, PartnerId organisation, long latestStart, double cost) {
        int order = tier.compareTo(mClaim.tier());
        if (order == 0) {
            order = Integer.compare(rank, mClaim.flow().rank());
        }
        if (order < 0) {
            mPreceding += cost;
        } else if (order == 0 && !organisation.equals(mClaim.flow().organisation())) {
            if (mOtherOrganisations.isEmpty()) {
                mOtherOrganisations = new HashMap<>();
            }
            mOtherOrganisations.merge(organisation, cost, Double::sum);
        } else if (order == 0 && latestStart <= mClaim.latestStartMillis()) {
            mOwnOrganisation += cost;
        }
    }

    /** Returns the cost of the requests that are served before the claim. */
    public double cost() {
        double turn = mOwnOrganisation + mClaim.cost();
        double cost = mPreceding + mOwnOrganisation;
        for (double waiting : mOtherOrganisations.values()) {
            cost += Math.min(waiting, turn);
        }
        return cost;
    }
}

package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.route.Organisation;

/**
 * What one request is charged to its organisation. Confined to the traffic loop. Invariant: a
 * request is charged at most once, and refunded at most what it was charged.
 */
final class UsageCharge {

    private final ServingContext mContext;

    private final ServingRequest mRequest;

    /** The usage charged, or 0 where none was charged. */
    private double mCost;

    /** When the usage was charged, milliseconds on the loop's clock. */
    private long mChargedAt;

    UsageCharge(ServingContext context, ServingRequest request) {
        mContext = context;
        mRequest = request;
    }

    /**
     * Charges the request to its organisation, if it has one.
     *
     * @return the refusal if the limit is reached
     */
    Optional<OrganisationLimiter.Refusal> charge() {
        if (mRequest.organisation().isEmpty()) {
            return Optional.empty();
        }
        Organisation organisation = mRequest.organisation().get();
        double cost = organisation.limit().cost(mRequest.maxTokens());
        Optional<OrganisationLimiter.Refusal> refusal =
                mContext.organisationLimiter().admit(organisation, cost);
        if (refusal.isEmpty()) {
            mCost = cost;
            mChargedAt = mContext.loop().millis();
        }
        return refusal;
    }

    /** Refunds the charge; the request was certainly not run. */
    void refund() {
        if (mCost > 0) {
            mRequest.organisation()
                    .ifPresent(
                            each -> mContext.organisationLimiter().refund(each, mCost, mChargedAt));
            mCost = 0;
        }
    }
}

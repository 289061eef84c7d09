package org.troutpier.daemon.serving;

import java.util.Locale;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.FlowKey;

/** The requests of one organisation and urgency, and their outcome. */
final class WaitingWorkload {
    final FlowKey mFlow;
    final long mWaitMillis;
    double mPerSecond;
    int mRequests;
    int mGranted;
    int mLargeRequests;
    int mLargeGranted;
    long mWaitedMillis;

    /** Requests at routers that were not cut off when they arrived. */
    int mConnectedRequests;

    int mConnectedGranted;

    WaitingWorkload(String organisation, int rank, long waitMillis, double perSecond) {
        mFlow = new FlowKey(rank, new PartnerId(organisation));
        mWaitMillis = waitMillis;
        mPerSecond = perSecond;
    }

    double inTime() {
        return mGranted / (double) Math.max(1, mRequests);
    }

    double connectedInTime() {
        return mConnectedGranted / (double) Math.max(1, mConnectedRequests);
    }

    double largeInTime() {
        return mLargeGranted / (double) Math.max(1, mLargeRequests);
    }

    double smallInTime() {
        return (mGranted - mLargeGranted) / (double) Math.max(1, mRequests - mLargeRequests);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s rank %d: %d of %d, connected %d of %d, large %d of %d, waited %d ms",
                mFlow.organisation(),
                mFlow.rank(),
                mGranted,
                mRequests,
                mConnectedGranted,
                mConnectedRequests,
                mLargeGranted,
                mLargeRequests,
                mWaitedMillis / Math.max(1, mGranted));
    }
}

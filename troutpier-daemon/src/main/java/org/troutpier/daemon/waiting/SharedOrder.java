package org.troutpier.daemon.waiting;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;

/**
 * One order of the requests that wait at all routers: by queue tier, by urgency, by what each
 * organisation was granted recently, and by latest start. Answers the load of two kinds of
 * different urgency and of organisations in a flood, which ask for more memory than the engines
 * have. Confined to the traffic loop. Invariant: what the other routers reported can delay a
 * request, but only {@link HoldBack} decides for how long.
 */
public final class SharedOrder implements WaitingOrder {

    /**
     * The share of the granted tokens up to which an urgency is served before others when its
     * requests are about to miss their targets. Callers of a kind that needs less than that are
     * served as well as those of the most urgent one, which loses at most this share.
     */
    private static final double GUARANTEED_SHARE = 0.1;

    /**
     * How long before its latest start a request is due, milliseconds: several rounds of a router,
     * so that it finds memory in one of them.
     */
    private static final long DUE_MILLIS = 200;

    /** The rank of a request that is due; precedes all others. */
    private static final int DUE_RANK = -1;

    private final RecentTraffic mTraffic = new RecentTraffic();

    /** The reports of the other routers as of a time, milliseconds. */
    private final LongFunction<WaitingReport> mPeers;

    /** The mean duration of a run of a service, milliseconds; 0 for unknown. */
    private final ToDoubleFunction<String> mMeanRunMillis;

    private final MetricRegistry mMetrics;

    /**
     * Creates an order without any requests.
     *
     * @param peers returns the reports of the other routers as of a time, milliseconds
     * @param meanRunMillis returns the mean duration of a run of a service, milliseconds; 0 for
     *     unknown
     * @param metrics counts requests by urgency
     */
    public SharedOrder(
            LongFunction<WaitingReport> peers,
            ToDoubleFunction<String> meanRunMillis,
            MetricRegistry metrics) {
        mPeers = peers;
        mMeanRunMillis = meanRunMillis;
        mMetrics = metrics;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isShared() {
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public boolean reportsWaiting() {
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public void recordArrival(WaitingRequest request, long now) {
        count(request, "waiting", 1);
        if (request.claim().tier() == QueueTier.IN_TIME) {
            mTraffic.recordArrival(request, now);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recordGrant(WaitingRequest request, long now) {
        mTraffic.recordGrant(request, now);
        count(request, "waiting", -1);
        count(request, "granted", 1);
    }

    /** {@inheritDoc} */
    @Override
    public void recordEnd(WaitingRequest request, boolean refused) {
        count(request, "waiting", -1);
        if (refused) {
            count(request, "refused", 1);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recordHeldBack(WaitingRequest request) {
        count(request, "held", 1);
    }

    private void count(WaitingRequest request, String event, long more) {
        mMetrics.counter("order." + event + "." + request.claim().flow().rank()).inc(more);
    }

    /** {@inheritDoc} */
    @Override
    public boolean precedes(WaitingRequest first, WaitingRequest second, long now) {
        Standing standing = new Standing(second, now);
        return standing.isPrecededBy(WaitingReport.Entry.of(first, now));
    }

    /** {@inheritDoc} */
    @Override
    public Preceding preceding(WaitingRequest request, int runs, long now) {
        return new Standing(request, now).preceding(runs);
    }

    /** {@inheritDoc} */
    @Override
    public <T> List<T> arrange(List<T> items, Function<T, WaitingRequest> request, long now) {
        List<T> due = new ArrayList<>();
        List<T> others = new ArrayList<>();
        for (T item : items) {
            boolean isDue = new Standing(request.apply(item), now).mRank == DUE_RANK;
            (isDue ? due : others).add(item);
        }
        due.addAll(others);
        return due;
    }

    /** {@inheritDoc} */
    @Override
    public WaitingReport report(Collection<WaitingRequest> waiting, long now) {
        return new WaitingReport(
                WaitingReport.entriesOf(waiting, now),
                WaitingReport.mostGranted(mTraffic.granted(now)),
                0,
                mTraffic.classes(now));
    }

    /** {@inheritDoc} */
    @Override
    public String describe(WaitingRequest request, long now) {
        Standing standing = new Standing(request, now);
        return String.format(
                Locale.ROOT,
                ", organisation %s rank %d granted %.0f, %.0f tokens precede it elsewhere",
                request.claim().flow().organisation(),
                request.claim().flow().rank(),
                standing.granted(request.claim().flow().organisation()),
                standing.waitingElsewhere().tokens());
    }

    /** The place of one request among all, as of one time. Confined to the traffic loop. */
    private final class Standing {

        private final WaitingRequest mRequest;

        private final long mNow;

        private final WaitingReport mReported;

        /** The traffic of this router, or null until it is used. */
        private List<ClassTraffic> mOwnTraffic;

        /** The urgency, or {@link #DUE_RANK}. */
        private final int mRank;

        private Standing(WaitingRequest request, long now) {
            mRequest = request;
            mNow = now;
            mReported = mPeers.apply(now);
            mRank = rank(WaitingReport.Entry.of(request, now));
        }

        /** Returns an entry's urgency, or {@link #DUE_RANK}. */
        private int rank(WaitingReport.Entry entry) {
            boolean due =
                    entry.tier() == QueueTier.IN_TIME
                            && entry.latestStartMillis() <= DUE_MILLIS
                            && grantedShare(entry) < GUARANTEED_SHARE;
            return due ? DUE_RANK : entry.rank();
        }

        /** Returns the part of the recently granted tokens that an entry's urgency received. */
        private double grantedShare(WaitingReport.Entry entry) {
            double all = 0;
            double same = 0;
            for (List<ClassTraffic> classes : List.of(ownTraffic(), mReported.traffic())) {
                for (ClassTraffic each : classes) {
                    if (each.service().equals(entry.service())) {
                        all += each.granted();
                        same += each.rank() == entry.rank() ? each.granted() : 0;
                    }
                }
            }
            return all > 0 ? same / all : 1;
        }

        private List<ClassTraffic> ownTraffic() {
            if (mOwnTraffic == null) {
                mOwnTraffic = mTraffic.classes(mNow);
            }
            return mOwnTraffic;
        }

        private double granted(PartnerId organisation) {
            return mTraffic.granted(organisation, mNow)
                    + mReported.granted().getOrDefault(organisation, 0.0);
        }

        private Preceding preceding(int runs) {
            Preceding waiting = waitingElsewhere();
            if (mRank == DUE_RANK) {
                return waiting;
            }
            double tokens = waiting.tokens() + tokensExpected(runs);
            return new Preceding(tokens, waiting.largest(), waiting.moreUrgent());
        }

        /** Returns the requests at other routers that are served before this one. */
        private Preceding waitingElsewhere() {
            double tokens = 0;
            double largest = 0;
            boolean moreUrgent = false;
            for (WaitingReport.Entry entry : mReported.entries()) {
                if (isPrecededBy(entry)) {
                    tokens += entry.cost();
                    largest = Math.max(largest, entry.largest());
                    moreUrgent |= rank(entry) < mRank;
                }
            }
            return new Preceding(tokens, largest, moreUrgent);
        }

        /**
         * Returns the tokens of more urgent requests that are likely to arrive until the next run
         * ends at any engine.
         */
        private double tokensExpected(int runs) {
            double arrived = 0;
            for (List<ClassTraffic> classes : List.of(ownTraffic(), mReported.traffic())) {
                for (ClassTraffic each : classes) {
                    boolean precedes =
                            each.rank() < mRank && each.service().equals(mRequest.service());
                    arrived += precedes ? each.arrived() : 0;
                }
            }
            double untilEndMillis =
                    mMeanRunMillis.applyAsDouble(mRequest.service()) / Math.max(1, runs);
            return arrived / RecentTraffic.ARRIVAL_WINDOW_MILLIS * untilEndMillis;
        }

        private boolean isPrecededBy(WaitingReport.Entry entry) {
            Claim claim = mRequest.claim();
            if (!entry.service().equals(mRequest.service())) {
                return false;
            }
            if (entry.tier() != claim.tier()) {
                return entry.tier().compareTo(claim.tier()) < 0;
            }
            int rank = rank(entry);
            if (rank != mRank) {
                return rank < mRank;
            }
            PartnerId organisation = claim.flow().organisation();
            if (!entry.organisation().equals(organisation)) {
                double lead = granted(organisation) - granted(entry.organisation());
                if (Math.abs(lead) > claim.cost()) {
                    return lead > 0;
                }
            }
            return entry.latestStartMillis() < claim.latestStartMillis() - mNow;
        }
    }
}

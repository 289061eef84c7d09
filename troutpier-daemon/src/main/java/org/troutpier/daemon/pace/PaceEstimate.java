package org.troutpier.daemon.pace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Measures how much longer an upstream takes than the others of its kind under the same load, from
 * the measurements of all routers. Confined to the traffic loop. Invariants: a pace is at least 1;
 * it is 1 for an upstream that differs from the others by no more than the scatter, and for all
 * upstreams while the estimate is off; an upstream that is sent no more work returns to 1.
 *
 * <p>Intended for upstreams of which some are slow for seconds while others take longer for
 * fractions of a second. The sums on the longer time scale find the former. A change that lasts for
 * less than a report and a call take cannot be followed; averaged over several of them, all
 * upstreams look alike.
 */
public final class PaceEstimate {

    /** The path at which operators list the paces. */
    public static final String PATH = "/paces";

    /** An estimate that is off. */
    public static final PaceEstimate OFF =
            new PaceEstimate(false, (upstream, now) -> PaceReport.NONE, () -> 0);

    /**
     * The weight of the assumption that an upstream is like the others: a single measurement moves
     * a pace by at most a third of its logarithm.
     */
    private static final double PRIOR_WEIGHT = 2;

    /**
     * The weight of the recent sums beside the lasting ones, so that a change of pace shows within
     * a second.
     */
    private static final double RECENT_FACTOR = 1;

    /** Paces below this are within the scatter of single calls. */
    private static final double MIN_PACE = 1.5;

    private static final double MIN_LOGARITHM = Math.log(MIN_PACE);

    /** The smallest weight of measurements that are reported. */
    private static final double MIN_REPORTED_WEIGHT = 0.1;

    /** Age at which even frequent measurements no longer count, milliseconds. */
    private static final long STALE_MILLIS = 10_000;

    private final boolean mEnabled;

    /** The measurements of the other routers. */
    private final PeerPaces mPeers;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    private final Map<UpstreamIncarnation, Measured> mMeasured = new HashMap<>();

    /** The sums of all upstreams of a kind. */
    private final Map<Kind, Measured> mTotals = new HashMap<>();

    /**
     * The upstreams that are compared with each other. Immutable and thread safe.
     *
     * @param service the service
     * @param role the role of the upstreams
     */
    private record Kind(String service, UpstreamEntry.Role role) {

        private static Kind of(UpstreamEntry upstream) {
            return new Kind(upstream.service(), upstream.role());
        }
    }

    /** The measurements of this router at one upstream, or at all of a kind. */
    private static final class Measured {

        private final Kind mKind;

        private PaceReport mSums = PaceReport.NONE;

        /** The time of the sums, milliseconds. */
        private long mAt;

        /** How often work was sent to another upstream because this one is slow. */
        private long mPassedOver;

        /** Expected times where nobody else predicts them; null before the first is needed. */
        private LoadCurve mCurve;

        private Measured(Kind kind) {
            mKind = kind;
        }

        private PaceReport at(long now) {
            return mSums.aged(now - mAt);
        }

        private void add(PaceReport measurement, long now) {
            mSums = at(now).plus(measurement);
            mAt = now;
        }
    }

    /**
     * The pace of an upstream, as shown to operators. Immutable and thread safe.
     *
     * @param upstream the upstream
     * @param role its role
     * @param pace how many times as long as the others of its kind it takes
     * @param here the weight of this router's measurements of the last seconds
     * @param elsewhere the weight of the other routers' measurements
     * @param passedOver how often this router sent work elsewhere because the upstream is slow
     */
    public record Status(
            String upstream,
            String role,
            double pace,
            double here,
            double elsewhere,
            long passedOver) {}

    /**
     * Creates an estimate without measurements.
     *
     * @param enabled whether upstreams are measured
     * @param peers the measurements of the other routers
     * @param millis the monotonic clock, milliseconds
     */
    public PaceEstimate(boolean enabled, PeerPaces peers, LongSupplier millis) {
        mEnabled = enabled;
        mPeers = peers;
        mMillis = millis;
    }

    /** Returns whether upstreams are measured and ordered by their pace. */
    public boolean isEnabled() {
        return mEnabled;
    }

    /**
     * Records the time that an upstream took.
     *
     * @param millis the measured time, milliseconds
     * @param expectedMillis the time that an upstream of its kind is predicted to take under the
     *     same load, milliseconds
     * @param weight the part of the time that the measured work itself took, 0 to 1
     */
    public void record(
            UpstreamEntry upstream, double millis, double expectedMillis, double weight) {
        if (isMeasurement(millis, expectedMillis, weight)) {
            add(upstream, PaceReport.of(millis / expectedMillis, weight));
        }
    }

    /**
     * Records the time that a call has taken so far that is not answered yet. As for any wait of
     * unknown length, the rest is expected to take as long as what has passed. It is no sign that
     * the upstream answers, so it does not count in the recent sums.
     *
     * @param millis the time so far, milliseconds
     * @param expectedMillis see {@link #record}
     * @param weight see {@link #record}
     */
    public void recordOverdue(
            UpstreamEntry upstream, double millis, double expectedMillis, double weight) {
        if (isMeasurement(millis, expectedMillis, weight)) {
            add(upstream, PaceReport.of(2 * millis / expectedMillis, weight).withoutRecent());
        }
    }

    private boolean isMeasurement(double millis, double expectedMillis, double weight) {
        return mEnabled && millis > 0 && expectedMillis > 0 && weight > 0;
    }

    private void add(UpstreamEntry upstream, PaceReport measurement) {
        Kind kind = Kind.of(upstream);
        long now = mMillis.getAsLong();
        Measured measured = mMeasured.get(upstream.incarnation());
        if (measured == null || !measured.mKind.equals(kind)) {
            measured = new Measured(kind);
            mMeasured.put(upstream.incarnation(), measured);
        }
        measured.add(measurement, now);
        total(kind).add(measurement, now);
    }

    /**
     * Records the time that an upstream took, where what is expected is learnt from all upstreams
     * of its kind.
     *
     * @param millis the measured time, milliseconds
     * @param calls the calls in progress at the upstream at that time
     */
    public void recordUnderLoad(UpstreamEntry upstream, double millis, int calls) {
        if (!mEnabled || millis <= 0) {
            return;
        }
        Measured total = total(Kind.of(upstream));
        if (total.mCurve == null) {
            total.mCurve = new LoadCurve();
        }
        long now = mMillis.getAsLong();
        record(upstream, millis, total.mCurve.expectedMillis(calls), 1);
        total.mCurve.add(calls, millis, now);
    }

    private Measured total(Kind kind) {
        return mTotals.computeIfAbsent(kind, Measured::new);
    }

    /** Returns how many times as long as the others of its kind an upstream takes, at least 1. */
    public double pace(UpstreamEntry upstream) {
        if (!mEnabled) {
            return 1;
        }
        long now = mMillis.getAsLong();
        PaceReport sums = mPeers.pace(upstream.incarnation(), now);
        Measured own = mMeasured.get(upstream.incarnation());
        if (own != null && own.mKind.equals(Kind.of(upstream))) {
            sums = sums.plus(relative(own, now).bounded(1));
        }
        double weight = sums.lastingWeight() + RECENT_FACTOR * sums.recentWeight();
        double ratio = sums.lastingLogarithm() + RECENT_FACTOR * sums.recentLogarithm();
        double logarithm = ratio / (weight + PRIOR_WEIGHT);
        return logarithm < MIN_LOGARITHM ? 1 : Math.min(PaceReport.MAX_RATIO, Math.exp(logarithm));
    }

    /** Returns the pace of an upstream for a log line; empty unless it is slow. */
    public String describe(UpstreamEntry upstream) {
        double pace = pace(upstream);
        return pace > 1 ? " pace " + rounded(pace) : "";
    }

    private static double rounded(double value) {
        return Math.round(value * 10) / 10.0;
    }

    /** Counts work that was sent to another upstream because this one is slow. */
    public void recordPassedOver(UpstreamEntry upstream) {
        Measured own = mMeasured.get(upstream.incarnation());
        if (own == null) {
            own = new Measured(Kind.of(upstream));
            mMeasured.put(upstream.incarnation(), own);
        }
        own.mPassedOver++;
    }

    /**
     * Returns the pace of upstreams.
     *
     * @param upstreams the upstreams to describe
     * @return the paces, in the order of the upstreams
     */
    public List<Status> statuses(Collection<UpstreamEntry> upstreams) {
        long now = mMillis.getAsLong();
        List<Status> statuses = new ArrayList<>();
        for (UpstreamEntry upstream : upstreams) {
            Measured own = mMeasured.get(upstream.incarnation());
            PaceReport here = own == null ? PaceReport.NONE : own.at(now);
            PaceReport elsewhere = mPeers.pace(upstream.incarnation(), now);
            statuses.add(
                    new Status(
                            upstream.incarnation().toString(),
                            upstream.role().toString(),
                            rounded(pace(upstream)),
                            rounded(here.lastingWeight()),
                            rounded(elsewhere.lastingWeight()),
                            own == null ? 0 : own.mPassedOver));
        }
        return statuses;
    }

    /** Returns this router's measurements of an upstream relative to its other upstreams. */
    private PaceReport relative(Measured own, long now) {
        PaceReport sums = own.at(now);
        return sums.relativeTo(total(own.mKind).at(now).minus(sums));
    }

    /**
     * Returns the weight of the measurements of the last fraction of a second by all routers; see
     * {@link PrefillWatch}.
     */
    public double recentWeight(UpstreamEntry upstream) {
        long now = mMillis.getAsLong();
        Measured own = mMeasured.get(upstream.incarnation());
        double ownWeight = own == null ? 0 : own.at(now).recentWeight();
        return ownWeight + mPeers.pace(upstream.incarnation(), now).recentWeight();
    }

    /**
     * Returns the measurements to report to the other routers: of upstreams that this router or
     * another one finds slow, and of prefill engines that answered in the last fraction of a
     * second.
     */
    public Map<UpstreamIncarnation, PaceReport> report() {
        if (!mEnabled || mMeasured.isEmpty()) {
            return Map.of();
        }
        long now = mMillis.getAsLong();
        Map<UpstreamIncarnation, PaceReport> report = new HashMap<>();
        for (Map.Entry<UpstreamIncarnation, Measured> each : mMeasured.entrySet()) {
            if (now - each.getValue().mAt > STALE_MILLIS) {
                continue;
            }
            PaceReport own = relative(each.getValue(), now);
            boolean answering =
                    each.getValue().mKind.role() == UpstreamEntry.Role.PREFILL
                            && own.recentWeight() >= MIN_REPORTED_WEIGHT;
            boolean slow =
                    own.meanLogarithm() >= MIN_LOGARITHM
                            || mPeers.pace(each.getKey(), now).meanLogarithm() >= MIN_LOGARITHM;
            if (answering || (slow && own.lastingWeight() >= MIN_REPORTED_WEIGHT)) {
                report.put(each.getKey(), own.bounded(1));
            }
        }
        return report;
    }

    /** Removes the measurements of upstreams that are no longer listed. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mMeasured.keySet().retainAll(listed);
    }
}

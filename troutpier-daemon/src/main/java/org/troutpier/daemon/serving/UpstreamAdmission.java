package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.notice.NoticeState;
import org.troutpier.daemon.notice.UpstreamNotice;

/**
 * Admits calls to upstreams according to the notices in their answers. Confined to the traffic
 * loop. Invariants: each call that makes an upstream work is admitted here before it is sent; no
 * call is admitted to an upstream that is leaving or in a back-off.
 *
 * @param loads the calls in flight at each upstream
 * @param rates enforces the rates that upstreams announce
 * @param notices all other notices of upstreams
 * @param random spreads the retries of callers
 */
public record UpstreamAdmission(
        UpstreamLoads loads, UpstreamRates rates, UpstreamNotices notices, RandomGenerator random) {

    /** Period over which the retries of callers are spread after a back-off, milliseconds. */
    private static final long RETRY_SPREAD_MILLIS = 1000;

    /**
     * Shortest retry delay, and spread of the delay, for upstreams in the ramp-up after a back-off,
     * milliseconds.
     */
    private static final long RAMP_UP_RETRY_MILLIS = 100;

    /**
     * Records the notices in the answer to a call that made the upstream work.
     *
     * @param tookMillis time since the call was sent, milliseconds
     */
    void recordAnswer(
            UpstreamEntry upstream,
            UpstreamNotice notice,
            UpstreamPort.Verdict verdict,
            long tookMillis) {
        notices.record(upstream, notice);
        rates.recordAnnouncement(upstream, notice.rate(), verdict, tookMillis);
        if (verdict == UpstreamPort.Verdict.SUCCESS) {
            notices.recordSuccess(upstream, tookMillis);
        }
    }

    /**
     * Records the notices in the answer to any other call. The absence of a rate has no meaning in
     * such an answer.
     */
    public void recordNotice(UpstreamEntry upstream, UpstreamNotice notice) {
        notices.record(upstream, notice);
        if (notice.rate().state() != NoticeState.NONE) {
            rates.recordAnnouncement(upstream, notice.rate(), UpstreamPort.Verdict.OWN_FAILURE, 0);
        }
    }

    /** Admits a call to an upstream and counts it. */
    boolean tryAcquire(UpstreamEntry upstream, FlowKey flow) {
        boolean acquired = admits(upstream) && rates.tryAcquire(upstream, flow);
        if (acquired) {
            notices.recordSent(upstream);
        }
        return acquired;
    }

    /**
     * Returns whether an upstream accepts calls according to its notices, regardless of its rate.
     */
    private boolean admits(UpstreamEntry upstream) {
        return notices.admits(upstream, loads.ownCalls(upstream));
    }

    /**
     * Returns whether the upstream is not in a back-off, so that a call that was admitted before
     * may still be sent. Whether it is leaving is not checked here.
     */
    boolean stillAdmits(UpstreamEntry upstream) {
        return notices.backOffMillis(upstream) == 0;
    }

    /**
     * Admits a call to the first upstream that may be sent one.
     *
     * @param upstreams the upstreams, the best first
     * @return the upstream; empty if none may be sent the call
     */
    Optional<UpstreamEntry> acquireFirst(List<UpstreamEntry> upstreams, FlowKey flow) {
        return upstreams.stream().filter(each -> tryAcquire(each, flow)).findFirst();
    }

    /**
     * Refunds a call that was admitted but never reached the upstream.
     *
     * @param at when the call was admitted, milliseconds
     */
    void refund(UpstreamEntry upstream, long at) {
        rates.refund(upstream, at);
    }

    /**
     * Returns the time until the first back-off of several upstreams ends.
     *
     * @return milliseconds; 0 if any upstream accepts calls or the list is empty
     */
    long backOffMillis(List<UpstreamEntry> upstreams) {
        return upstreams.stream().mapToLong(notices::backOffMillis).min().orElse(0);
    }

    /**
     * Draws the delay after which a caller should retry that no upstream accepts. After a back-off,
     * retries are spread.
     *
     * @param upstreams the upstreams, none of which may be sent a call now
     * @param maxMillis the longest delay that is useful to the caller, milliseconds; a back-off may
     *     last longer
     * @return the delay, milliseconds
     */
    long retryAfterMillis(List<UpstreamEntry> upstreams, long maxMillis) {
        long backOff = backOffMillis(upstreams);
        if (backOff > 0) {
            return backOff + random.nextLong(RETRY_SPREAD_MILLIS);
        }
        List<UpstreamEntry> open = upstreams.stream().filter(this::stillAdmits).toList();
        long drawn =
                open.stream().allMatch(rates::isLimited)
                        ? rates.retryAfterMillis(open)
                        : RAMP_UP_RETRY_MILLIS + random.nextLong(RAMP_UP_RETRY_MILLIS);
        return Math.max(1, Math.min(maxMillis, drawn));
    }

    /** Removes upstreams that are no longer listed and of which no rate or back-off is known. */
    public void retain(Set<UpstreamIncarnation> listed) {
        rates.retain(listed);
        notices.retain(listed);
    }
}

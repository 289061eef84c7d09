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
 * Admits calls to upstreams by what these announce in their answers. Confined to the traffic loop.
 * Invariants: each call that an upstream works on is admitted here before it is sent; none is
 * admitted to an upstream that leaves or has asked for a back-off.
 *
 * @param loads what is under way at each upstream
 * @param rates keeps upstreams to the rates that they name
 * @param notices what upstreams announce beside rates
 * @param random spreads the returns of callers
 */
public record UpstreamAdmission(
        UpstreamLoads loads, UpstreamRates rates, UpstreamNotices notices, RandomGenerator random) {

    /** Within which time callers return that come back after a back-off, milliseconds. */
    private static final long RETURN_SPREAD_MILLIS = 1000;

    /** How soon callers return to upstreams that were returned to just now, milliseconds. */
    private static final long SOON_MILLIS = 100;

    /**
     * Takes what the answer to a call announces that the upstream worked on.
     *
     * @param upstream whose answer it is
     * @param notice what it announces
     * @param verdict what its head proves
     * @param tookMillis how long ago the call was sent, milliseconds
     */
    void recordAnswer(
            UpstreamEntry upstream,
            UpstreamNotice notice,
            UpstreamPort.Verdict verdict,
            long tookMillis) {
        notices.received(upstream, notice);
        rates.recordAnnouncement(upstream, notice.rate(), verdict, tookMillis);
        if (verdict == UpstreamPort.Verdict.SUCCESS) {
            notices.succeeded(upstream, tookMillis);
        }
    }

    /**
     * Takes what the answer to any other call announces: what it leaves out means nothing.
     *
     * @param upstream whose answer it is
     * @param notice what it announces
     */
    public void recordNotice(UpstreamEntry upstream, UpstreamNotice notice) {
        notices.received(upstream, notice);
        if (notice.rate().state() != NoticeState.NONE) {
            rates.recordAnnouncement(upstream, notice.rate(), UpstreamPort.Verdict.OWN_FAILURE, 0);
        }
    }

    /**
     * Admits a call to an upstream and counts it.
     *
     * @param upstream where it is to be sent
     * @param asker the request's rank and organisation
     * @return whether it may be sent
     */
    boolean tryAcquire(UpstreamEntry upstream, FlowKey asker) {
        boolean taken = admits(upstream) && rates.tryAcquire(upstream, asker);
        if (taken) {
            notices.sent(upstream);
        }
        return taken;
    }

    /**
     * Returns whether an upstream takes calls by what it has announced, whatever its rate.
     *
     * @param upstream the upstream
     * @return whether it does
     */
    private boolean admits(UpstreamEntry upstream) {
        return notices.admits(upstream, loads.ownCalls(upstream));
    }

    /**
     * Returns whether a call that was admitted before may still be sent.
     *
     * @param upstream where to
     * @return whether the upstream has not asked for a back-off since
     */
    boolean stillAdmits(UpstreamEntry upstream) {
        return notices.backOffMillis(upstream) == 0;
    }

    /**
     * Admits a call to the first of several upstreams that may be sent it.
     *
     * @param upstreams the upstreams, the best first
     * @param asker the request's rank and organisation
     * @return the upstream; empty where none may be sent it
     */
    Optional<UpstreamEntry> acquireFirst(List<UpstreamEntry> upstreams, FlowKey asker) {
        return upstreams.stream().filter(each -> tryAcquire(each, asker)).findFirst();
    }

    /**
     * Gives back a call that was admitted and never reached the upstream.
     *
     * @param upstream where it was to be sent
     * @param at when it was admitted, milliseconds
     */
    void refund(UpstreamEntry upstream, long at) {
        rates.refund(upstream, at);
    }

    /**
     * Returns for how long none of several upstreams wants a call.
     *
     * @param upstreams the upstreams
     * @return milliseconds until the first back-off ends; 0 where one takes calls or there is none
     */
    long backOffMillis(List<UpstreamEntry> upstreams) {
        return upstreams.stream().mapToLong(notices::backOffMillis).min().orElse(0);
    }

    /**
     * Draws when a caller should come back that no upstream takes. After a back-off, callers return
     * one after the other.
     *
     * @param upstreams the upstreams, none of which may be sent a call now
     * @param mostMillis the latest time that is of use to the caller; a back-off may last longer
     * @return milliseconds from now
     */
    long retryAfterMillis(List<UpstreamEntry> upstreams, long mostMillis) {
        long backOff = backOffMillis(upstreams);
        if (backOff > 0) {
            return backOff + random.nextLong(RETURN_SPREAD_MILLIS);
        }
        List<UpstreamEntry> open = upstreams.stream().filter(this::stillAdmits).toList();
        long drawn =
                open.stream().allMatch(rates::isLimited)
                        ? rates.retryAfterMillis(open)
                        : SOON_MILLIS + random.nextLong(SOON_MILLIS);
        return Math.max(1, Math.min(mostMillis, drawn));
    }

    /**
     * Forgets upstreams that are no longer listed and of which nothing is known.
     *
     * @param listed the starts that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        rates.retain(listed);
        notices.retain(listed);
    }
}

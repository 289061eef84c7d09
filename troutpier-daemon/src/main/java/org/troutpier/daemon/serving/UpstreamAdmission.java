package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.Asker;
import org.troutpier.daemon.notice.Announced;
import org.troutpier.daemon.notice.UpstreamNotice;

/**
 * Admits calls to upstreams by what these say of themselves in their answers. Confined to the
 * traffic loop. Invariant: each call that an upstream works on is admitted here before it is sent.
 *
 * @param rates keeps upstreams to the rates that they name
 * @param notices what upstreams say beside rates
 */
public record UpstreamAdmission(UpstreamRates rates, UpstreamNotices notices) {

    /**
     * Takes what the answer to a call says that the upstream worked on.
     *
     * @param upstream whose answer it is
     * @param notice what it says
     * @param verdict what its head proves
     * @param tookMillis how long ago the call was sent, milliseconds
     */
    void answered(
            UpstreamEntry upstream,
            UpstreamNotice notice,
            UpstreamPort.Verdict verdict,
            long tookMillis) {
        notices.received(upstream, notice);
        rates.heard(upstream, notice.rate(), verdict, tookMillis);
    }

    /**
     * Takes what the answer to any other call says: what it does not say means nothing.
     *
     * @param upstream whose answer it is
     * @param notice what it says
     */
    public void received(UpstreamEntry upstream, UpstreamNotice notice) {
        notices.received(upstream, notice);
        if (notice.rate().kind() != Announced.NONE) {
            rates.heard(upstream, notice.rate(), UpstreamPort.Verdict.OWN_FAILURE, 0);
        }
    }

    /**
     * Admits a call to an upstream and counts it.
     *
     * @param upstream where it is to be sent
     * @param asker who asks
     * @return whether it may be sent
     */
    boolean tryTake(UpstreamEntry upstream, Asker asker) {
        boolean taken = rates.tryTake(upstream, asker);
        if (taken) {
            notices.sent(upstream);
        }
        return taken;
    }

    /**
     * Admits a call to the first of several upstreams that may be sent it.
     *
     * @param upstreams the upstreams, the best first
     * @param asker who asks
     * @return the upstream; empty where none may be sent it
     */
    Optional<UpstreamEntry> takeFirst(List<UpstreamEntry> upstreams, Asker asker) {
        return upstreams.stream().filter(each -> tryTake(each, asker)).findFirst();
    }

    /**
     * Gives back a call that was admitted and never reached the upstream.
     *
     * @param upstream where it was to be sent
     * @param at when it was admitted, milliseconds
     */
    void giveBack(UpstreamEntry upstream, long at) {
        rates.giveBack(upstream, at);
    }

    /**
     * Draws when a caller should come back that no upstream takes.
     *
     * @param upstreams the upstreams, none of which may be sent a call now
     * @return milliseconds from now
     */
    long returnMillis(List<UpstreamEntry> upstreams) {
        return rates.returnMillis(upstreams);
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

package org.troutpier.daemon.serving;

import java.util.HashSet;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The upstreams to which one request was sent. Confined to the traffic loop. Invariants: an
 * upstream that never received the request is no attempt, but is not tried again; one whose call
 * was given up while another one went on is no attempt, and may be tried again.
 */
final class AttemptedUpstreams {

    /** The upstreams to which the request was sent to be run. */
    private final Set<UpstreamIncarnation> mAttempted = new HashSet<>();

    /**
     * Upstreams that never received the request: unreachable, or replaced by another upstream at
     * the same address.
     */
    private final Set<UpstreamIncarnation> mUnreached = new HashSet<>();

    /** Records that the request is sent to an upstream to be run. */
    void add(UpstreamEntry upstream) {
        mAttempted.add(upstream.incarnation());
    }

    /**
     * Withdraws an attempt whose call never reached its upstream, or was received by another
     * upstream at the same address.
     *
     * @return whether it was withdrawn
     */
    boolean withdraw(UpstreamEntry upstream, AttemptEnd end) {
        boolean replaced = end.notStarted() && end.leaving();
        if (!replaced && !end.neverReached()) {
            return false;
        }
        mAttempted.remove(upstream.incarnation());
        mUnreached.add(upstream.incarnation());
        return true;
    }

    /**
     * Withdraws an attempt that was given up, so that its upstream may be sent the request again.
     */
    void giveUp(UpstreamEntry upstream) {
        mAttempted.remove(upstream.incarnation());
    }

    /** Returns the number of attempts. */
    int size() {
        return mAttempted.size();
    }

    /** Returns whether another upstream may be tried after one that was not reached. */
    boolean mayMissAnother() {
        return mUnreached.size() <= ServingSettings.MAX_UNREACHED;
    }

    /** Returns the upstreams to which the request is not to be sent again. */
    Set<UpstreamIncarnation> excluded() {
        Set<UpstreamIncarnation> excluded = new HashSet<>(mAttempted);
        excluded.addAll(mUnreached);
        return excluded;
    }
}

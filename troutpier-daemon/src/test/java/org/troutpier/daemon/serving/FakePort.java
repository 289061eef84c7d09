package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Upstreams whose answers are given by the test. Confined to the test's thread. */
class FakePort implements UpstreamPort {

    final List<Sent> mRuns = new ArrayList<>();
    final List<ResultListener<StoredPrompt>> mPrefills = new ArrayList<>();
    final List<Sent> mPrefillCalls = new ArrayList<>();
    final List<StoredPrompt> mDiscarded = new ArrayList<>();
    final List<UpstreamEntry> mReserveCalls = new ArrayList<>();
    final List<Long> mReserveTokens = new ArrayList<>();
    final List<String> mReleased = new ArrayList<>();
    final Set<UpstreamIncarnation> mFullEngines = new HashSet<>();

    /** Answers connection probes. */
    Consumer<Consumer<ProbeResult>> mOnCheck = listener -> listener.accept(ProbeResult.LISTENING);

    boolean mDefersReservations;
    ResultListener<Reservation> mDeferredReservation;

    /** A run that was sent. */
    static final class Sent implements Call {
        final UpstreamEntry mUpstream;
        final RunPlan mPlan;
        final RunListener mListener;
        boolean mAborted;

        Sent(UpstreamEntry upstream, RunPlan plan, RunListener listener) {
            mUpstream = upstream;
            mPlan = plan;
            mListener = listener;
        }

        @Override
        public void abort() {
            mAborted = true;
        }

        @Override
        public void setAutoRead(boolean on) {}
    }

    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        Sent sent = new Sent(upstream, plan, listener);
        mRuns.add(sent);
        return sent;
    }

    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        mPrefills.add(listener);
        Sent sent = new Sent(upstream, plan, null);
        mPrefillCalls.add(sent);
        return sent;
    }

    @Override
    public Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener) {
        mReserveCalls.add(upstream);
        mReserveTokens.add(tokens);
        if (mDefersReservations) {
            mDeferredReservation = listener;
        } else if (mFullEngines.contains(upstream.incarnation())) {
            listener.onFailure(AttemptEnd.refused(false, "full"));
        } else {
            listener.onResult(new Reservation("reservation at " + upstream.id()));
        }
        return new Sent(upstream, null, null);
    }

    @Override
    public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {
        mOnCheck.accept(listener);
    }

    @Override
    public void release(UpstreamEntry upstream, Reservation reservation) {
        mReleased.add(reservation.token());
    }

    @Override
    public void discard(StoredPrompt prompt) {
        mDiscarded.add(prompt);
    }
}

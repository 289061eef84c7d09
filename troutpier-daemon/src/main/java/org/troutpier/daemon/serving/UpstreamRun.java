package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One call that runs a request at one upstream. Confined to the traffic loop. Invariants: {@link
 * #onClosed()} is called exactly once; {@link #onSilence()} is not called after it.
 */
abstract class UpstreamRun implements UpstreamPort.RunListener {

    /** The shared collaborators. */
    protected final ServingContext mContext;

    /** The upstream to which the call is sent. */
    protected final UpstreamEntry mUpstream;

    /** When the run began, milliseconds on the loop's clock. */
    private final long mStart;

    private UpstreamPort.Call mCall;

    /** The call among those of its request; null until it is sent. */
    private RequestArrivals.Arrival mArrival;

    /** Fires when the upstream was silent for too long; null while it is not set. */
    private TrafficLoop.Timer mSilenceTimer;

    private boolean mEnded;

    UpstreamRun(ServingContext context, UpstreamEntry upstream) {
        mContext = context;
        mUpstream = upstream;
        mStart = context.loop().millis();
    }

    /** Called when the silence timer fires. */
    protected abstract void onSilence();

    /** Called when the run ends, however it ends. */
    protected abstract void onClosed();

    /** Sends the call. */
    protected void send(ServingRequest request, UpstreamPort.RunPlan plan) {
        mArrival = plan.arrival();
        mCall = mContext.port().run(mUpstream, request, plan, this);
    }

    /**
     * Starts the silence timer; replaces one that was set before.
     *
     * @param millis how long the upstream may be silent from now on
     */
    protected void startSilenceTimer(long millis) {
        stopSilenceTimer();
        if (!mEnded) {
            mSilenceTimer = mContext.loop().schedule(this::fireSilence, millis);
        }
    }

    /** Stops the silence timer. */
    protected void stopSilenceTimer() {
        if (mSilenceTimer != null) {
            mSilenceTimer.cancel();
            mSilenceTimer = null;
        }
    }

    private void fireSilence() {
        if (!mEnded) {
            onSilence();
        }
    }

    /**
     * Enables or disables reading from the upstream, for back-pressure.
     *
     * @param on whether to read what the upstream sends
     */
    protected void setAutoRead(boolean on) {
        mCall.setAutoRead(on);
    }

    /** Returns whether any byte of the call may have been sent. */
    boolean mayHaveBeenSent() {
        return mCall == null || mCall.mayHaveBeenSent();
    }

    /** Aborts the call; its listener is not called again. */
    void abort() {
        mCall.abort();
        close();
    }

    /** {@inheritDoc} */
    @Override
    public void onNotice(UpstreamNotice notice, UpstreamPort.Verdict verdict) {
        mArrival.recordArrived();
        mContext.admission().recordAnswer(mUpstream, notice, verdict, elapsedMillis());
    }

    /** Refunds what was taken for a call that never reached its upstream. */
    protected void refundIfUnreached(AttemptEnd end) {
        if (end.neverReached()) {
            mArrival.recordUnreached();
            mContext.admission().refund(mUpstream, mStart);
        }
    }

    /** Ends the run. */
    protected void close() {
        stopSilenceTimer();
        if (!mEnded) {
            mEnded = true;
            mArrival.recordArrived();
            onClosed();
        }
    }

    /** Returns the part of the duration so far for which the upstream is responsible. */
    protected long upstreamMillis() {
        return mCall.upstreamMillis(elapsedMillis());
    }

    /**
     * Returns the duration of the run so far.
     *
     * @return milliseconds
     */
    protected long elapsedMillis() {
        return mContext.loop().millis() - mStart;
    }
}

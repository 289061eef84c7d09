package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One run of a request at one upstream, from its call until it is over. Confined to the traffic
 * loop. Invariants: {@link #onClosed()} is called once; an upstream is given up for its silence
 * only while the run is not over.
 */
abstract class UpstreamRun implements UpstreamPort.RunListener {

    /** The collaborators. */
    protected final ServingContext mContext;

    /** Where it runs. */
    protected final UpstreamEntry mUpstream;

    /** When it began, milliseconds. */
    private final long mStart;

    /** The call. */
    private UpstreamPort.Call mCall;

    /** Fires when the upstream was silent for too long, or null. */
    private TrafficLoop.Timer mSilenceTimer;

    /** Whether the run is over. */
    private boolean mEnded;

    /**
     * Creates a run.
     *
     * @param context the collaborators
     * @param upstream where it runs
     */
    UpstreamRun(ServingContext context, UpstreamEntry upstream) {
        mContext = context;
        mUpstream = upstream;
        mStart = context.loop().millis();
    }

    /** Called when the upstream was silent for too long. */
    protected abstract void onSilence();

    /** Called when the run is over, whatever its end. */
    protected abstract void onClosed();

    /**
     * Sends the call.
     *
     * @param request the request
     * @param plan what goes with it
     */
    protected void send(ServingRequest request, UpstreamPort.RunPlan plan) {
        mCall = mContext.port().run(mUpstream, request, plan, this);
    }

    /**
     * Waits for a sign of the upstream, instead of what it was waited for before.
     *
     * @param millis how long the upstream may be silent from now on
     */
    protected void startSilenceTimer(long millis) {
        stopSilenceTimer();
        if (!mEnded) {
            mSilenceTimer = mContext.loop().schedule(this::fireSilence, millis);
        }
    }

    /** Lets the upstream be silent as long as it likes. */
    protected void stopSilenceTimer() {
        if (mSilenceTimer != null) {
            mSilenceTimer.cancel();
            mSilenceTimer = null;
        }
    }

    /** Tells of the upstream's silence. */
    private void fireSilence() {
        if (!mEnded) {
            onSilence();
        }
    }

    /**
     * Lets the answer come, or holds it back.
     *
     * @param on whether it may come
     */
    protected void setAutoRead(boolean on) {
        mCall.setAutoRead(on);
    }

    /** Ends the call without hearing more. */
    void abort() {
        mCall.abort();
        close();
    }

    /** {@inheritDoc} */
    @Override
    public void onNotice(UpstreamNotice notice, UpstreamPort.Verdict verdict) {
        mContext.admission().recordAnswer(mUpstream, notice, verdict, elapsedMillis());
    }

    /**
     * Gives back that the run was admitted, where it never reached its upstream.
     *
     * @param end how it ended
     */
    protected void refundIfUnreached(AttemptEnd end) {
        if (end.neverReached()) {
            mContext.admission().refund(mUpstream, mStart);
        }
    }

    /** Records that the call is over. */
    protected void close() {
        stopSilenceTimer();
        if (!mEnded) {
            mEnded = true;
            onClosed();
        }
    }

    /**
     * Returns how long the run has taken so far.
     *
     * @return milliseconds
     */
    protected long elapsedMillis() {
        return mContext.loop().millis() - mStart;
    }
}

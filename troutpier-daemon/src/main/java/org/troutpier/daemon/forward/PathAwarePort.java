package org.troutpier.daemon.forward;

import java.util.function.Consumer;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.serving.ServingRequest;
import org.troutpier.daemon.serving.TrafficLoop;
import org.troutpier.daemon.serving.UpstreamPort;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Port that sends a call again on another path if its connection was not opened. Confined to the
 * traffic loop. Invariant: a call is sent again only if no byte of it can have reached the
 * upstream, so it still counts as one call.
 */
public final class PathAwarePort implements UpstreamPort {

    /** How often a call is sent at most: directly, and through each router that may be asked. */
    private static final int MAX_SENDS = 1 + UpstreamPaths.MAX_FORWARDERS;

    /** The delegate. */
    private final UpstreamPort mPort;

    private final UpstreamPaths mPaths;

    private final TrafficLoop mLoop;

    /** Creates a port. */
    public PathAwarePort(UpstreamPort port, UpstreamPaths paths, TrafficLoop loop) {
        mPort = port;
        mPaths = paths;
        mLoop = loop;
    }

    /** {@inheritDoc} */
    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        return new ResentRun(
                        upstream,
                        plan,
                        listener,
                        (run, remaining) -> mPort.run(upstream, request, remaining, run))
                .send();
    }

    /** {@inheritDoc} */
    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        return new ResentQuery<StoredPrompt>(
                        upstream,
                        plan,
                        listener,
                        (call, remaining) -> mPort.prefill(upstream, request, remaining, call))
                .send();
    }

    /** {@inheritDoc} */
    @Override
    public Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener) {
        return new ResentQuery<Reservation>(
                        upstream,
                        null,
                        listener,
                        (call, none) -> mPort.reserve(upstream, tokens, millis, call))
                .send();
    }

    /** {@inheritDoc} */
    @Override
    public void release(UpstreamEntry upstream, Reservation reservation) {
        mPaths.register(upstream);
        mPort.release(upstream, reservation);
    }

    /** {@inheritDoc} */
    @Override
    public void discard(StoredPrompt prompt) {
        mPaths.register(prompt.upstream());
        mPort.discard(prompt);
    }

    /**
     * {@inheritDoc} While other paths are lost, a refused connection is confirmed by another
     * router, since it may come from elsewhere than the upstream's machine. Otherwise the result
     * does not wait: until it is known, the request that crashed the upstream may be sent to
     * further ones.
     */
    @Override
    public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {
        mPaths.register(upstream);
        if (mPaths.forwardedCount() == 0) {
            mPort.probe(upstream, listener);
        } else {
            probe(upstream, listener, 1);
        }
    }

    private void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener, int sends) {
        mPort.probe(
                upstream,
                result -> {
                    if (result == ProbeResult.LISTENING) {
                        listener.accept(result);
                    } else if (sends < MAX_SENDS && mPaths.hasAlternative(upstream)) {
                        probe(upstream, listener, sends + 1);
                    } else {
                        boolean confirmed = mPaths.confirmsRefusal(upstream);
                        listener.accept(confirmed ? result : ProbeResult.UNKNOWN);
                    }
                });
    }

    /**
     * Sends a call once.
     *
     * @param <L> the type of its listener
     */
    private interface Sender<L> {

        /**
         * Sends the call.
         *
         * @param plan the plan with the time that remains; null for a call without a plan
         */
        Call send(L listener, RunPlan plan);
    }

    /** A call that may be sent several times. */
    private abstract class ResentCall implements Call {

        private final UpstreamEntry mUpstream;

        private final RunPlan mPlan;

        private final long mStart = mLoop.millis();

        private int mSends;

        /** The delegate's call that was sent last. */
        private Call mDelegate;

        private boolean mAborted;

        ResentCall(UpstreamEntry upstream, RunPlan plan) {
            mUpstream = upstream;
            mPlan = plan;
        }

        /** Sends the call once. */
        protected abstract Call sendOnce(RunPlan plan);

        /** Passes on that the call failed. */
        protected abstract void fail(AttemptEnd end);

        /** Sends the call with the time that remains of it. */
        Call send() {
            mPaths.register(mUpstream);
            int send = ++mSends;
            Call call = sendOnce(mPlan == null ? null : mPlan.after(mLoop.millis() - mStart));
            if (send == mSends) {
                mDelegate = call;
            }
            return this;
        }

        /** Sends the call again if it was not sent yet and there is another path. */
        public void onFailure(AttemptEnd end) {
            if (mAborted) {
                return;
            }
            if (end.neverReached() && mSends < MAX_SENDS && mPaths.hasAlternative(mUpstream)) {
                send();
            } else {
                fail(end);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void abort() {
            mAborted = true;
            mDelegate.abort();
        }

        /** {@inheritDoc} */
        @Override
        public void setAutoRead(boolean on) {
            mDelegate.setAutoRead(on);
        }

        /** {@inheritDoc} Earlier sends have not reached the upstream. */
        @Override
        public boolean mayHaveBeenSent() {
            return mDelegate.mayHaveBeenSent();
        }

        /** {@inheritDoc} */
        @Override
        public long connectMillis() {
            return mDelegate.connectMillis();
        }
    }

    /** A run that may be sent several times. */
    private final class ResentRun extends ResentCall implements RunListener {

        private final RunListener mListener;

        private final Sender<RunListener> mSender;

        ResentRun(
                UpstreamEntry upstream,
                RunPlan plan,
                RunListener listener,
                Sender<RunListener> sender) {
            super(upstream, plan);
            mListener = listener;
            mSender = sender;
        }

        /** {@inheritDoc} */
        @Override
        protected Call sendOnce(RunPlan plan) {
            return mSender.send(this, plan);
        }

        /** {@inheritDoc} */
        @Override
        protected void fail(AttemptEnd end) {
            mListener.onFailure(end);
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            mListener.onNotice(notice, verdict);
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(Head head) {
            mListener.onHead(head);
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            mListener.onPart(part);
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            mListener.onEnd();
        }
    }

    /** A call that does not run a request and may be sent several times. */
    private final class ResentQuery<T> extends ResentCall implements ResultListener<T> {

        private final ResultListener<T> mListener;

        private final Sender<ResultListener<T>> mSender;

        ResentQuery(
                UpstreamEntry upstream,
                RunPlan plan,
                ResultListener<T> listener,
                Sender<ResultListener<T>> sender) {
            super(upstream, plan);
            mListener = listener;
            mSender = sender;
        }

        /** {@inheritDoc} */
        @Override
        protected Call sendOnce(RunPlan plan) {
            return mSender.send(this, plan);
        }

        /** {@inheritDoc} */
        @Override
        protected void fail(AttemptEnd end) {
            mListener.onFailure(end);
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            mListener.onNotice(notice, verdict);
        }

        /** {@inheritDoc} */
        @Override
        public void onResult(T result) {
            mListener.onResult(result);
        }
    }
}

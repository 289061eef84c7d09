package org.troutpier.daemon.serving;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Port that fails calls whose upstream is known to have restarted since they were sent. Such calls
 * are lost as in a crash, but if the machine lost power the connection never reports it: a plain
 * call of a non-repeatable request would wait until its deadline, and a stream until the silence
 * limit. Confined to the traffic loop. Invariants: a call ends once; a call that was ended here
 * passes on nothing more; a stored prompt that arrives later is freed at its engine.
 */
public final class RestartAwarePort implements UpstreamPort {

    private static final Logger LOGGER = LogManager.getLogger(RestartAwarePort.class);

    /** The delegate. */
    private final UpstreamPort mPort;

    private final Set<TrackedCall> mActive = Collections.newSetFromMap(new IdentityHashMap<>());

    /** Creates a port. */
    public RestartAwarePort(UpstreamPort port) {
        mPort = port;
    }

    /** Fails the calls to earlier incarnations of the listed upstreams. */
    public void retain(Set<UpstreamIncarnation> listed) {
        Map<UpstreamId, UpstreamIncarnation> incarnations = new HashMap<>();
        listed.forEach(incarnation -> incarnations.put(incarnation.id(), incarnation));
        for (TrackedCall call : List.copyOf(mActive)) {
            UpstreamIncarnation current = incarnations.get(call.mUpstream.id());
            if (current != null && current.startedAfter(call.mUpstream)) {
                LOGGER.info(
                        "call lost because its upstream restarted upstream={} now={}",
                        call.mUpstream,
                        current);
                call.failAsLost();
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        TrackedRun run = new TrackedRun(upstream.incarnation(), listener);
        return run.delegateTo(mPort.run(upstream, request, plan, run));
    }

    /** {@inheritDoc} */
    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        TrackedResult<StoredPrompt> call =
                new TrackedResult<>(upstream.incarnation(), listener, mPort::discard);
        return call.delegateTo(mPort.prefill(upstream, request, plan, call));
    }

    /** {@inheritDoc} */
    @Override
    public Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener) {
        TrackedResult<Reservation> call =
                new TrackedResult<>(upstream.incarnation(), listener, late -> {});
        return call.delegateTo(mPort.reserve(upstream, tokens, millis, call));
    }

    /** {@inheritDoc} */
    @Override
    public void release(UpstreamEntry upstream, Reservation reservation) {
        mPort.release(upstream, reservation);
    }

    /** {@inheritDoc} */
    @Override
    public void discard(StoredPrompt prompt) {
        mPort.discard(prompt);
    }

    /** {@inheritDoc} */
    @Override
    public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {
        mPort.probe(upstream, listener);
    }

    /** A call in flight. */
    private abstract class TrackedCall implements Call {

        private final UpstreamIncarnation mUpstream;

        /** Receives a failure of the call. */
        private final Consumer<AttemptEnd> mFailure;

        /** The delegate's call; null until it was sent. */
        private Call mDelegate;

        private boolean mEnded;

        TrackedCall(UpstreamIncarnation upstream, Consumer<AttemptEnd> failure) {
            mUpstream = upstream;
            mFailure = failure;
            mActive.add(this);
        }

        /** Sets the delegate's call. */
        Call delegateTo(Call call) {
            mDelegate = call;
            return this;
        }

        private void failAsLost() {
            if (!mEnded) {
                abort();
                mFailure.accept(AttemptEnd.lost("upstream started again"));
            }
        }

        /** Marks the call as ended, and returns whether it was still active. */
        protected boolean end() {
            boolean first = !mEnded;
            mEnded = true;
            mActive.remove(this);
            return first;
        }

        /** Returns whether the call has not ended. */
        protected boolean isActive() {
            return !mEnded;
        }

        /** Ends the call with a failure. */
        public void onFailure(AttemptEnd end) {
            if (end()) {
                mFailure.accept(end);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void abort() {
            end();
            if (mDelegate != null) {
                mDelegate.abort();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void setAutoRead(boolean on) {
            mDelegate.setAutoRead(on);
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayHaveBeenSent() {
            return mDelegate == null || mDelegate.mayHaveBeenSent();
        }

        /** {@inheritDoc} */
        @Override
        public long connectMillis() {
            return mDelegate == null ? 0 : mDelegate.connectMillis();
        }
    }

    /** A run in flight. */
    private final class TrackedRun extends TrackedCall implements RunListener {

        private final RunListener mListener;

        TrackedRun(UpstreamIncarnation upstream, RunListener listener) {
            super(upstream, listener::onFailure);
            mListener = listener;
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            if (isActive()) {
                mListener.onNotice(notice, verdict);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(Head head) {
            if (isActive()) {
                mListener.onHead(head);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (isActive()) {
                mListener.onPart(part);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (end()) {
                mListener.onEnd();
            }
        }
    }

    /** A call in flight that does not run a request. */
    private final class TrackedResult<T> extends TrackedCall implements ResultListener<T> {

        private final ResultListener<T> mListener;

        /** Receives a result that arrives after the call has ended. */
        private final Consumer<T> mLateResults;

        TrackedResult(
                UpstreamIncarnation upstream, ResultListener<T> listener, Consumer<T> lateResults) {
            super(upstream, listener::onFailure);
            mListener = listener;
            mLateResults = lateResults;
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            if (isActive()) {
                mListener.onNotice(notice, verdict);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResult(T result) {
            if (end()) {
                mListener.onResult(result);
            } else {
                mLateResults.accept(result);
            }
        }
    }
}

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
 * Speaks to upstreams through another port, and ends calls whose upstream is known to have started
 * again since they were sent: they are lost as in a crash, whose connection says nothing where the
 * machine lost power. Waited for, a plain call of a once-only request lasts to its deadline, and a
 * stream to the limit of silence. Confined to the traffic loop. Invariant: a call ends once; after
 * it was ended here nothing more of it is heard.
 */
public final class RestartAwarePort implements UpstreamPort {

    /** Logs calls that are ended. */
    private static final Logger LOGGER = LogManager.getLogger(RestartAwarePort.class);

    /** Carries the calls out. */
    private final UpstreamPort mPort;

    /** The calls under way. */
    private final Set<Watched> mUnderWay = Collections.newSetFromMap(new IdentityHashMap<>());

    /**
     * Creates a port.
     *
     * @param port carries the calls out
     */
    public RestartAwarePort(UpstreamPort port) {
        mPort = port;
    }

    /**
     * Ends the calls to earlier starts of the upstreams that are listed.
     *
     * @param listed the starts that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        Map<UpstreamId, UpstreamIncarnation> starts = new HashMap<>();
        listed.forEach(start -> starts.put(start.id(), start));
        for (Watched call : List.copyOf(mUnderWay)) {
            UpstreamIncarnation now = starts.get(call.mUpstream.id());
            if (now != null && now.follows(call.mUpstream)) {
                LOGGER.info("call lost by a restart upstream={} now={}", call.mUpstream, now);
                call.lose();
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        WatchedRun run = new WatchedRun(upstream.incarnation(), listener);
        return run.begun(mPort.run(upstream, request, plan, run));
    }

    /** {@inheritDoc} */
    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        WatchedResult<StoredPrompt> call = new WatchedResult<>(upstream.incarnation(), listener);
        return call.begun(mPort.prefill(upstream, request, plan, call));
    }

    /** {@inheritDoc} */
    @Override
    public Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener) {
        WatchedResult<Reservation> call = new WatchedResult<>(upstream.incarnation(), listener);
        return call.begun(mPort.reserve(upstream, tokens, millis, call));
    }

    /** {@inheritDoc} */
    @Override
    public void release(UpstreamEntry upstream, Reservation place) {
        mPort.release(upstream, place);
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

    /** A call under way. */
    private abstract class Watched implements Call {

        /** Where it was sent. */
        private final UpstreamIncarnation mUpstream;

        /** Takes an end that is a failure. */
        private final Consumer<AttemptEnd> mFailure;

        /** The call as it is carried out, or null before it is. */
        private Call mCall;

        /** Whether it is over. */
        private boolean mOver;

        /**
         * Creates a call.
         *
         * @param upstream where it is sent
         * @param failure takes an end that is a failure
         */
        Watched(UpstreamIncarnation upstream, Consumer<AttemptEnd> failure) {
            mUpstream = upstream;
            mFailure = failure;
            mUnderWay.add(this);
        }

        /**
         * Takes the call as it is carried out.
         *
         * @param call the call
         * @return this call
         */
        Call begun(Call call) {
            mCall = call;
            return this;
        }

        /** Ends the call as lost. */
        private void lose() {
            if (!mOver) {
                abort();
                mFailure.accept(AttemptEnd.lost("upstream started again"));
            }
        }

        /**
         * Takes the call's end.
         *
         * @return whether it had not ended before
         */
        protected boolean end() {
            boolean first = !mOver;
            mOver = true;
            mUnderWay.remove(this);
            return first;
        }

        /**
         * Returns whether more may be heard of the call.
         *
         * @return whether it has not ended
         */
        protected boolean open() {
            return !mOver;
        }

        /**
         * Takes the call's failure.
         *
         * @param end how it ended
         */
        public void onFailure(AttemptEnd end) {
            if (end()) {
                mFailure.accept(end);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void abort() {
            end();
            if (mCall != null) {
                mCall.abort();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void setAutoRead(boolean on) {
            mCall.setAutoRead(on);
        }
    }

    /** A run under way. */
    private final class WatchedRun extends Watched implements RunListener {

        /** Receives the answer. */
        private final RunListener mListener;

        /**
         * Creates a run.
         *
         * @param upstream where it is sent
         * @param listener receives the answer
         */
        WatchedRun(UpstreamIncarnation upstream, RunListener listener) {
            super(upstream, listener::onFailure);
            mListener = listener;
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            if (open()) {
                mListener.onNotice(notice, verdict);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(Head head) {
            if (open()) {
                mListener.onHead(head);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (open()) {
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

    /**
     * A call under way that runs nothing.
     *
     * @param <T> the result's type
     */
    private final class WatchedResult<T> extends Watched implements ResultListener<T> {

        /** Receives the result. */
        private final ResultListener<T> mListener;

        /**
         * Creates a call.
         *
         * @param upstream where it is sent
         * @param listener receives the result
         */
        WatchedResult(UpstreamIncarnation upstream, ResultListener<T> listener) {
            super(upstream, listener::onFailure);
            mListener = listener;
        }

        /** {@inheritDoc} */
        @Override
        public void onNotice(UpstreamNotice notice, Verdict verdict) {
            if (open()) {
                mListener.onNotice(notice, verdict);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResult(T result) {
            if (end()) {
                mListener.onResult(result);
            }
        }
    }
}

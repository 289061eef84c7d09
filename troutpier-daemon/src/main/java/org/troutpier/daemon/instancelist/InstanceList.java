package org.troutpier.daemon.instancelist;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** The platform's list of instances, which lags. Implementations are thread safe. */
public interface InstanceList {

    /**
     * Asks for the list.
     *
     * @return the instances; fails where the list is away
     */
    CompletableFuture<List<Instance>> list();

    /**
     * One instance as the platform sees it. Immutable and thread safe.
     *
     * @param id the instance
     * @param incarnation which start of it, empty for an instance that is no router
     * @param peer where its peers reach it, empty for an instance that is no router
     * @param hall its hall, empty where it does not say
     * @param state {@code live}, {@code leaving} or {@code gone}
     */
    record Instance(String id, String incarnation, String peer, String hall, String state) {

        /**
         * Returns whether this is a router.
         *
         * @return whether it has peers
         */
        public boolean router() {
            return !incarnation.isEmpty() && !peer.isEmpty();
        }

        /**
         * Returns whether the platform takes it to be gone.
         *
         * @return whether it is gone
         */
        public boolean gone() {
            return "gone".equals(state);
        }

        /**
         * Returns whether it is leaving.
         *
         * @return whether it is leaving
         */
        public boolean leaving() {
            return "leaving".equals(state);
        }
    }

    /** The list over HTTP. Thread safe. */
    final class OverHttp implements InstanceList {

        /** Sends the requests. */
        private final HttpClient mCalls;

        /** The list's URL. */
        private final String mUrl;

        /** How long one call may take, milliseconds. */
        private final int mTimeoutMillis;

        /**
         * Creates a list.
         *
         * @param calls sends the requests
         * @param url the list's URL
         * @param timeoutMillis how long one call may take
         */
        public OverHttp(HttpClient calls, String url, int timeoutMillis) {
            mCalls = calls;
            mUrl = url;
            mTimeoutMillis = timeoutMillis;
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<List<Instance>> list() {
            return mCalls.call(HttpCall.of("GET", mUrl + "/instances").withTimeout(mTimeoutMillis))
                    .thenApply(
                            reply -> {
                                if (!reply.isSuccessful()) {
                                    throw new TroutpierException(
                                            ResultCode.INTERNAL,
                                            "the instance list answers " + reply.status());
                                }
                                return List.of(reply.as(Instance[].class));
                            });
        }
    }
}

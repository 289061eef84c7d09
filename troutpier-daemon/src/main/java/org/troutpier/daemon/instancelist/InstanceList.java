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
     * Queries the list.
     *
     * @return the instances; fails if the list is unavailable
     */
    CompletableFuture<List<Instance>> list();

    /**
     * An instance as the platform lists it. Immutable and thread safe.
     *
     * @param id the instance
     * @param incarnation the start of the instance, empty for an instance that is no router
     * @param peer the address for its peers, empty for an instance that is no router
     * @param hall its data hall, empty if it is unknown
     * @param state {@code live}, {@code leaving} or {@code gone}
     */
    record Instance(String id, String incarnation, String peer, String hall, String state) {

        /** Returns whether the instance is a router. */
        public boolean router() {
            return !incarnation.isEmpty() && !peer.isEmpty();
        }

        /** Returns whether the platform lists the instance as gone. */
        public boolean gone() {
            return "gone".equals(state);
        }

        /** Returns whether the platform lists the instance as leaving. */
        public boolean leaving() {
            return "leaving".equals(state);
        }
    }

    /** The list over HTTP. Thread safe. */
    final class OverHttp implements InstanceList {

        private final HttpClient mCalls;

        private final String mUrl;

        private final int mTimeoutMillis;

        /**
         * Creates a client of the list.
         *
         * @param calls sends the requests
         * @param url the list's URL
         * @param timeoutMillis the timeout of one call, milliseconds
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

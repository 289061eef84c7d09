package org.troutpier.daemon.objectstore;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** The platform's object store. Implementations are thread safe. */
public interface ObjectStore {

    /**
     * Writes an object.
     *
     * @param key its key
     * @param object its bytes
     * @return whether it is certain that it was written
     */
    CompletableFuture<Boolean> write(String key, byte[] object);

    /**
     * Reads an object.
     *
     * @param key its key
     * @return its bytes, or empty where there is none; fails where the store is away
     */
    CompletableFuture<Optional<byte[]>> read(String key);

    /** The object store over HTTP. Thread safe. */
    final class OverHttp implements ObjectStore {

        /** The status of a missing object. */
        private static final int MISSING = 404;

        /** Sends the requests. */
        private final HttpClient mCalls;

        /** The store's URL. */
        private final String mUrl;

        /** How long one call may take, milliseconds. */
        private final int mTimeoutMillis;

        /**
         * Creates a store.
         *
         * @param calls sends the requests
         * @param url the store's URL
         * @param timeoutMillis how long one call may take
         */
        public OverHttp(HttpClient calls, String url, int timeoutMillis) {
            mCalls = calls;
            mUrl = url;
            mTimeoutMillis = timeoutMillis;
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Boolean> write(String key, byte[] object) {
            return mCalls.call(object("PUT", key).withBody(object))
                    .handle((reply, failure) -> failure == null && reply.isSuccessful());
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Optional<byte[]>> read(String key) {
            return mCalls.call(object("GET", key))
                    .thenApply(
                            reply -> {
                                if (reply.status() == MISSING) {
                                    return Optional.empty();
                                }
                                if (!reply.isSuccessful()) {
                                    throw new TroutpierException(
                                            ResultCode.TABLE_UNAVAILABLE,
                                            "the object store answers " + reply.status());
                                }
                                return Optional.of(reply.body());
                            });
        }

        /**
         * Starts a call about one object.
         *
         * @param method the HTTP method
         * @param key the object's key
         * @return the call
         */
        private HttpCall object(String method, String key) {
            return HttpCall.of(method, mUrl + "/objects/" + key).withTimeout(mTimeoutMillis);
        }
    }
}

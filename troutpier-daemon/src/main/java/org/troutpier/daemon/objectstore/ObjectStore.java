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
     * @return whether the store confirmed the write; false says nothing about whether it was
     *     written
     */
    CompletableFuture<Boolean> write(String key, byte[] object);

    /**
     * Reads an object.
     *
     * @param key its key
     * @return its bytes, or empty if it does not exist; fails if the store is unavailable
     */
    CompletableFuture<Optional<byte[]>> read(String key);

    /** The object store over HTTP. Thread safe. */
    final class OverHttp implements ObjectStore {

        private static final int NOT_FOUND = 404;

        private final HttpClient mCalls;

        private final String mUrl;

        private final int mTimeoutMillis;

        /**
         * Creates a client of the store.
         *
         * @param calls sends the requests
         * @param url the store's URL
         * @param timeoutMillis the timeout of one call, milliseconds
         */
        public OverHttp(HttpClient calls, String url, int timeoutMillis) {
            mCalls = calls;
            mUrl = url;
            mTimeoutMillis = timeoutMillis;
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Boolean> write(String key, byte[] object) {
            return mCalls.call(objectCall("PUT", key).withBody(object))
                    .handle((reply, failure) -> failure == null && reply.isSuccessful());
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Optional<byte[]>> read(String key) {
            return mCalls.call(objectCall("GET", key))
                    .thenApply(
                            reply -> {
                                if (reply.status() == NOT_FOUND) {
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

        private HttpCall objectCall(String method, String key) {
            return HttpCall.of(method, mUrl + "/objects/" + key).withTimeout(mTimeoutMillis);
        }
    }
}

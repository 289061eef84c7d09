package org.troutpier.daemon.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * The platform's table service. Implementations are thread safe. Reads fail with {@link
 * ResultCode#TABLE_UNAVAILABLE}; a write does not fail but reports its outcome as far as it is
 * known.
 */
public interface Table {

    /**
     * Reads a row.
     *
     * @param key the row's key
     * @return the row; empty if it does not exist
     */
    CompletableFuture<Optional<Row>> read(String key);

    /** Returns the rows whose keys start with a prefix. */
    CompletableFuture<List<Row>> scan(String prefix);

    /**
     * Writes a row that must not exist yet.
     *
     * @param key the row's key
     */
    CompletableFuture<WriteResult> insert(String key, JsonNode value);

    /**
     * Replaces a row if it has not changed.
     *
     * @param key the row's key
     * @param tag the tag with which the row was read
     * @param value the new value
     */
    CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value);

    /**
     * Deletes a row if it has not changed.
     *
     * @param key the row's key
     * @param tag the tag with which the row was read
     */
    CompletableFuture<WriteResult> delete(String key, String tag);

    /**
     * A row as it was read. Immutable and thread safe.
     *
     * @param tag the entity tag of this version of the row
     */
    record Row(String key, String tag, JsonNode value) {}

    /** Outcome of a write. */
    enum Outcome {
        /** The write took effect. */
        WRITTEN,
        /** The condition failed; the write had no effect. */
        CONFLICT,
        /** The write was not sent and had no effect. */
        NOT_SENT,
        /** The write may have taken effect, or may still do so. */
        UNKNOWN
    }

    /**
     * What is known about a write. Immutable and thread safe.
     *
     * @param tag the entity tag of the row that was written; null unless the write took effect
     */
    record WriteResult(Outcome outcome, String tag) {}

    /**
     * Accesses the table over HTTP, with {@code ETag} and {@code If-Match} for conditional writes.
     * Thread safe.
     */
    final class OverHttp implements Table {

        private static final int NOT_FOUND = 404;

        private static final int PRECONDITION_FAILED = 412;

        private final HttpClient mCalls;

        private final String mUrl;

        private final int mTimeoutMillis;

        /**
         * Creates a client.
         *
         * @param calls sends the requests
         * @param url the URL of the service
         * @param timeoutMillis time limit of a call, milliseconds
         */
        public OverHttp(HttpClient calls, String url, int timeoutMillis) {
            mCalls = calls;
            mUrl = url;
            mTimeoutMillis = timeoutMillis;
        }

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return mCalls.call(row("GET", key))
                    .handle(
                            (reply, failure) -> {
                                if (failure == null && reply.status() == NOT_FOUND) {
                                    return Optional.empty();
                                }
                                requireRead(reply, failure);
                                JsonNode value = reply.as(JsonNode.class);
                                return Optional.of(
                                        new Row(key, reply.headers().get("ETag"), value));
                            });
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix) {
            HttpCall call =
                    HttpCall.of("GET", mUrl + "/rows?prefix=" + prefix).withTimeout(mTimeoutMillis);
            return mCalls.call(call)
                    .handle(
                            (reply, failure) -> {
                                requireRead(reply, failure);
                                List<Row> rows = new ArrayList<>();
                                for (JsonNode row : reply.as(JsonNode.class)) {
                                    rows.add(
                                            new Row(
                                                    row.path("key").asText(),
                                                    row.path("tag").asText(),
                                                    row.get("value")));
                                }
                                return rows;
                            });
        }

        @Override
        public CompletableFuture<WriteResult> insert(String key, JsonNode value) {
            return write(row("PUT", key).withJson(value).withHeader("If-None-Match", "*"));
        }

        @Override
        public CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value) {
            return write(row("PUT", key).withJson(value).withHeader("If-Match", tag));
        }

        @Override
        public CompletableFuture<WriteResult> delete(String key, String tag) {
            return write(row("DELETE", key).withHeader("If-Match", tag));
        }

        private HttpCall row(String method, String key) {
            return HttpCall.of(method, mUrl + "/rows/" + key).withTimeout(mTimeoutMillis);
        }

        private CompletableFuture<WriteResult> write(HttpCall call) {
            return mCalls.call(call).handle(OverHttp::outcome);
        }

        /**
         * Derives the outcome of a write from its answer, or from the failure to get one. Any
         * answer other than success and a failed condition leaves the outcome unknown.
         */
        private static WriteResult outcome(HttpReply reply, Throwable failure) {
            if (failure != null) {
                boolean sent =
                        !(failure instanceof CallFailedException failed)
                                || failed.mayHaveBeenSent();
                return new WriteResult(sent ? Outcome.UNKNOWN : Outcome.NOT_SENT, null);
            }
            if (reply.isSuccessful()) {
                return new WriteResult(Outcome.WRITTEN, reply.headers().get("ETag"));
            }
            boolean conflict = reply.status() == PRECONDITION_FAILED;
            return new WriteResult(conflict ? Outcome.CONFLICT : Outcome.UNKNOWN, null);
        }

        /** Throws {@link ResultCode#TABLE_UNAVAILABLE} unless a read was answered with success. */
        private static void requireRead(HttpReply reply, Throwable failure) {
            if (failure != null) {
                throw new TroutpierException(
                        ResultCode.TABLE_UNAVAILABLE, String.valueOf(failure.getMessage()));
            }
            if (!reply.isSuccessful()) {
                throw new TroutpierException(
                        ResultCode.TABLE_UNAVAILABLE, "the table answers " + reply.status());
            }
        }
    }

    /**
     * Circuit breaker: after {@link #FAILURE_THRESHOLD} failures in a row, calls fail at once
     * instead of waiting for a time-out, except for one probe per {@link #OPEN_NANOS}. A single
     * failure does not open it, since after a lost acknowledgement the row must be read back.
     * Thread safe.
     */
    final class WithCircuitBreaker implements Table {

        /** Time for which the breaker stays open after a failure or a probe. */
        private static final long OPEN_NANOS = 500_000_000L;

        /** Number of consecutive failures that open the breaker. */
        private static final int FAILURE_THRESHOLD = 3;

        private final Table mTable;

        private final LongSupplier mNanos;

        /** Consecutive failures. */
        private final AtomicInteger mFailures = new AtomicInteger();

        /**
         * Time until which the breaker is open, nanoseconds on the monotonic clock; 0 if it is
         * closed.
         */
        private final AtomicLong mOpenUntil = new AtomicLong();

        /**
         * Creates a circuit breaker.
         *
         * @param nanos the monotonic clock, nanoseconds
         */
        public WithCircuitBreaker(Table table, LongSupplier nanos) {
            mTable = table;
            mNanos = nanos;
        }

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return isOpen() ? failed() : observed(mTable.read(key));
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix) {
            return isOpen() ? failed() : observed(mTable.scan(prefix));
        }

        @Override
        public CompletableFuture<WriteResult> insert(String key, JsonNode value) {
            return isOpen() ? notSent() : observedWrite(mTable.insert(key, value));
        }

        @Override
        public CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value) {
            return isOpen() ? notSent() : observedWrite(mTable.replace(key, tag, value));
        }

        @Override
        public CompletableFuture<WriteResult> delete(String key, String tag) {
            return isOpen() ? notSent() : observedWrite(mTable.delete(key, tag));
        }

        /**
         * Returns whether to fail a call at once. Once the breaker has been open for {@link
         * #OPEN_NANOS}, a single caller gets {@code false} and probes the table, and the time
         * starts again.
         */
        private boolean isOpen() {
            long until = mOpenUntil.get();
            if (until == 0) {
                return false;
            }
            long now = mNanos.getAsLong();
            return now - until < 0 || !mOpenUntil.compareAndSet(until, now + OPEN_NANOS);
        }

        private <T> CompletableFuture<T> observed(CompletableFuture<T> future) {
            return future.whenComplete((value, failure) -> recordResult(failure == null));
        }

        private CompletableFuture<WriteResult> observedWrite(
                CompletableFuture<WriteResult> future) {
            return future.whenComplete(
                    (write, failure) ->
                            recordResult(
                                    write != null
                                            && (write.outcome() == Outcome.WRITTEN
                                                    || write.outcome() == Outcome.CONFLICT)));
        }

        private void recordResult(boolean answered) {
            if (answered) {
                mFailures.set(0);
                mOpenUntil.set(0);
            } else if (mFailures.incrementAndGet() >= FAILURE_THRESHOLD) {
                mOpenUntil.set(mNanos.getAsLong() + OPEN_NANOS);
            }
        }

        private static <T> CompletableFuture<T> failed() {
            return CompletableFuture.failedFuture(
                    new TroutpierException(
                            ResultCode.TABLE_UNAVAILABLE, "the table was away a moment ago"));
        }

        private static CompletableFuture<WriteResult> notSent() {
            return CompletableFuture.completedFuture(new WriteResult(Outcome.NOT_SENT, null));
        }
    }

    /** Converts a value to the JSON of a row. */
    static JsonNode toJson(Object value) {
        return Json.mapper().valueToTree(value);
    }
}

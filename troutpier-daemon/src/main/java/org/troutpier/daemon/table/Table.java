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
import org.troutpier.common.http.HttpCalls;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * The platform's table service. Implementations are thread safe. Reads fail with {@link
 * ResultCode#TABLE_UNAVAILABLE}; writes never fail but tell what is known of them.
 */
public interface Table {

    /**
     * Reads a row.
     *
     * @param key the row's key
     * @return the row, or empty where there is none
     */
    CompletableFuture<Optional<Row>> read(String key);

    /**
     * Lists the rows under a prefix.
     *
     * @param prefix the start of their keys
     * @return the rows
     */
    CompletableFuture<List<Row>> scan(String prefix);

    /**
     * Writes a row that must not be there yet.
     *
     * @param key the row's key
     * @param value its value
     * @return what is known of the write
     */
    CompletableFuture<WriteResult> insert(String key, JsonNode value);

    /**
     * Writes a row that must be there as it was read.
     *
     * @param key the row's key
     * @param tag the tag that it was read with
     * @param value its value
     * @return what is known of the write
     */
    CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value);

    /**
     * Deletes a row that must be there as it was read.
     *
     * @param key the row's key
     * @param tag the tag that it was read with
     * @return what is known of the write
     */
    CompletableFuture<WriteResult> delete(String key, String tag);

    /**
     * A row as it was read. Immutable and thread safe.
     *
     * @param key its key
     * @param tag names this state of it
     * @param value its value
     */
    record Row(String key, String tag, JsonNode value) {}

    /** What is known of a write. */
    enum Outcome {
        /** It took effect. */
        WRITTEN,
        /** Its condition failed; it took no effect. */
        CONFLICT,
        /** It was not sent and took no effect. */
        NOT_SENT,
        /** It may have taken effect, now or later. */
        UNKNOWN
    }

    /**
     * A write and what is known of it. Immutable and thread safe.
     *
     * @param outcome what is known
     * @param tag names the state written, null unless it was
     */
    record WriteResult(Outcome outcome, String tag) {}

    /** The table over HTTP, with {@code ETag} and {@code If-Match}. Thread safe. */
    final class OverHttp implements Table {

        /** The status of a missing row. */
        private static final int MISSING = 404;

        /** The status of a failed condition. */
        private static final int FAILED_CONDITION = 412;

        /** Sends the requests. */
        private final HttpCalls mCalls;

        /** The service's URL. */
        private final String mUrl;

        /** How long one call may take, milliseconds. */
        private final int mTimeoutMillis;

        /**
         * Creates a table.
         *
         * @param calls sends the requests
         * @param url the service's URL
         * @param timeoutMillis how long one call may take
         */
        public OverHttp(HttpCalls calls, String url, int timeoutMillis) {
            mCalls = calls;
            mUrl = url;
            mTimeoutMillis = timeoutMillis;
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return mCalls.call(row("GET", key))
                    .handle(
                            (reply, failure) -> {
                                if (failure == null && reply.status() == MISSING) {
                                    return Optional.empty();
                                }
                                requireRead(reply, failure);
                                JsonNode value = reply.as(JsonNode.class);
                                return Optional.of(
                                        new Row(key, reply.headers().get("ETag"), value));
                            });
        }

        /** {@inheritDoc} */
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

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> insert(String key, JsonNode value) {
            return write(row("PUT", key).withJson(value).withHeader("If-None-Match", "*"));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value) {
            return write(row("PUT", key).withJson(value).withHeader("If-Match", tag));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> delete(String key, String tag) {
            return write(row("DELETE", key).withHeader("If-Match", tag));
        }

        /**
         * Starts a call about one row.
         *
         * @param method the HTTP method
         * @param key the row's key
         * @return the call
         */
        private HttpCall row(String method, String key) {
            return HttpCall.of(method, mUrl + "/rows/" + key).withTimeout(mTimeoutMillis);
        }

        /**
         * Sends a write.
         *
         * @param call the write
         * @return what is known of it
         */
        private CompletableFuture<WriteResult> write(HttpCall call) {
            return mCalls.call(call).handle(OverHttp::outcome);
        }

        /**
         * Tells what is known of a write.
         *
         * @param reply the answer, or null
         * @param failure why there is none, or null
         * @return what is known
         */
        private static WriteResult outcome(HttpReply reply, Throwable failure) {
            if (failure != null) {
                boolean sent = !(failure instanceof CallFailedException failed) || failed.sent();
                return new WriteResult(sent ? Outcome.UNKNOWN : Outcome.NOT_SENT, null);
            }
            if (reply.ok()) {
                return new WriteResult(Outcome.WRITTEN, reply.headers().get("ETag"));
            }
            boolean conflict = reply.status() == FAILED_CONDITION;
            return new WriteResult(conflict ? Outcome.CONFLICT : Outcome.UNKNOWN, null);
        }

        /**
         * Checks that a read was answered.
         *
         * @param reply the answer, or null
         * @param failure why there is none, or null
         */
        private static void requireRead(HttpReply reply, Throwable failure) {
            if (failure != null) {
                throw new TroutpierException(
                        ResultCode.TABLE_UNAVAILABLE, String.valueOf(failure.getMessage()));
            }
            if (!reply.ok()) {
                throw new TroutpierException(
                        ResultCode.TABLE_UNAVAILABLE, "the table answers " + reply.status());
            }
        }
    }

    /**
     * Spares callers the wait for a table that is away: after some failures in a row it says so at
     * once for a while, but for one probe at a time. One failure is not enough: a lost
     * acknowledgement must still be settled by reading back. Thread safe.
     */
    final class WithCircuitBreaker implements Table {

        /** How long a failure is believed, nanoseconds. */
        private static final long BELIEVED_NANOS = 500_000_000L;

        /** How many failures in a row mean that the table is away. */
        private static final int FAILURES = 3;

        /** The table itself. */
        private final Table mTable;

        /** The monotonic clock. */
        private final LongSupplier mNanos;

        /** How many failures there were in a row. */
        private final AtomicInteger mFailures = new AtomicInteger();

        /** Until when the table is taken to be away; 0 for not. */
        private final AtomicLong mAwayUntil = new AtomicLong();

        /**
         * Creates a breaker.
         *
         * @param table the table itself
         * @param nanos the monotonic clock
         */
        public WithCircuitBreaker(Table table, LongSupplier nanos) {
            mTable = table;
            mNanos = nanos;
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return away() ? failed() : watched(mTable.read(key));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<List<Row>> scan(String prefix) {
            return away() ? failed() : watched(mTable.scan(prefix));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> insert(String key, JsonNode value) {
            return away() ? notSent() : watchedWrite(mTable.insert(key, value));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> replace(String key, String tag, JsonNode value) {
            return away() ? notSent() : watchedWrite(mTable.replace(key, tag, value));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<WriteResult> delete(String key, String tag) {
            return away() ? notSent() : watchedWrite(mTable.delete(key, tag));
        }

        /**
         * Returns whether the table is taken to be away; lets one caller through now and then.
         *
         * @return whether to say so at once
         */
        private boolean away() {
            long until = mAwayUntil.get();
            if (until == 0) {
                return false;
            }
            long now = mNanos.getAsLong();
            return now - until < 0 || !mAwayUntil.compareAndSet(until, now + BELIEVED_NANOS);
        }

        /**
         * Watches a read.
         *
         * @param future the read
         * @param <T> what it reads
         * @return the same read
         */
        private <T> CompletableFuture<T> watched(CompletableFuture<T> future) {
            return future.whenComplete((value, failure) -> heard(failure == null));
        }

        /**
         * Watches a write.
         *
         * @param future the write
         * @return the same write
         */
        private CompletableFuture<WriteResult> watchedWrite(CompletableFuture<WriteResult> future) {
            return future.whenComplete(
                    (write, failure) ->
                            heard(
                                    write != null
                                            && (write.outcome() == Outcome.WRITTEN
                                                    || write.outcome() == Outcome.CONFLICT)));
        }

        /**
         * Takes note of an answer or a failure.
         *
         * @param well whether the table answered
         */
        private void heard(boolean well) {
            if (well) {
                mFailures.set(0);
                mAwayUntil.set(0);
            } else if (mFailures.incrementAndGet() >= FAILURES) {
                mAwayUntil.set(mNanos.getAsLong() + BELIEVED_NANOS);
            }
        }

        /**
         * Returns a read that failed at once.
         *
         * @param <T> what it would read
         * @return the failure
         */
        private static <T> CompletableFuture<T> failed() {
            return CompletableFuture.failedFuture(
                    new TroutpierException(
                            ResultCode.TABLE_UNAVAILABLE, "the table was away a moment ago"));
        }

        /**
         * Returns a write that was not sent.
         *
         * @return the outcome
         */
        private static CompletableFuture<WriteResult> notSent() {
            return CompletableFuture.completedFuture(new WriteResult(Outcome.NOT_SENT, null));
        }
    }

    /**
     * Turns a value into JSON for a row.
     *
     * @param value the value
     * @return its JSON
     */
    static JsonNode toJson(Object value) {
        return Json.mapper().valueToTree(value);
    }
}

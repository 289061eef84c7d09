package org.troutpier.daemon.claim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.troutpier.common.http.Json;
import org.troutpier.daemon.claim.ClaimStore.SettlementResult;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.objectstore.ObjectStore;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.table.Table.Outcome;

/**
 * Settles claims: writes the outcome to the table and retries in the background if the result of a
 * write is unknown. Thread safe. Invariants: only a row of the claim's own epoch is replaced; the
 * release of a claim of unknown state is retried until its row confirms it or has expired.
 */
final class ClaimSettler {

    /** Largest answer that is normally stored in the row itself. */
    private static final int MAX_INLINE_BYTES = 4096;

    /** Largest answer that is stored in the row if the object store is unavailable. */
    private static final int MAX_FALLBACK_INLINE_BYTES = 65_536;

    /** Delay before a write of unknown result is retried. */
    private static final long SETTLE_RETRY_MILLIS = 300;

    private final Node mNode;

    private final Table mTable;

    private final ObjectStore mObjects;

    private final LongSupplier mWallMillis;

    /** Called with claims whose attempt is over at this router; a release may still be retried. */
    private final Consumer<Claim> mOnDone;

    /**
     * Creates a settler.
     *
     * @param node identity, threads, clock and metrics of this router
     * @param table the table of claims
     * @param objects store of large answers
     * @param wallMillis wall clock
     * @param onDone called with claims whose attempt is over at this router; thread safe
     */
    ClaimSettler(
            Node node,
            Table table,
            ObjectStore objects,
            LongSupplier wallMillis,
            Consumer<Claim> onDone) {
        mNode = node;
        mTable = table;
        mObjects = objects;
        mWallMillis = wallMillis;
        mOnDone = onDone;
    }

    /**
     * Records that a request was answered. The end mark of the answer may be sent once this returns
     * {@link SettlementResult#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to store; empty if it is too large
     * @return the result; never fails
     */
    CompletableFuture<SettlementResult> recordAnswer(Claim claim, Optional<StoredAnswer> answer) {
        if (answer.isEmpty()) {
            return settle(claim, row -> row.asAnswered(null));
        }
        byte[] bytes = answer.get().encode();
        if (bytes.length <= MAX_INLINE_BYTES) {
            return settle(claim, row -> row.asAnsweredInline(bytes));
        }
        String object = claim.key() + "/" + claim.row().epoch();
        return mObjects.write(object, bytes)
                .thenCompose(
                        written -> {
                            if (written) {
                                return settle(claim, row -> row.asAnswered(object));
                            }
                            if (bytes.length <= MAX_FALLBACK_INLINE_BYTES) {
                                mNode.count("claim.answer-kept-in-row");
                                return settle(claim, row -> row.asAnsweredInline(bytes));
                            }
                            return CompletableFuture.completedFuture(SettlementResult.UNKNOWN);
                        });
    }

    /**
     * Records that a request was answered, retrying in the background until the table confirms it.
     *
     * @param claim the claim
     * @param answer the answer to store; empty if it is too large
     */
    void recordAnswerInBackground(Claim claim, Optional<StoredAnswer> answer) {
        recordAnswer(claim, answer)
                .thenAccept(
                        result ->
                                retryIfUnknown(
                                        claim,
                                        result,
                                        () -> recordAnswerInBackground(claim, answer)));
    }

    /**
     * Writes the new row once, if the stored row is still the one that the claim wrote.
     *
     * @param change creates the new row
     */
    private CompletableFuture<SettlementResult> settle(
            Claim claim, Function<ClaimRow, ClaimRow> change) {
        ClaimRow next = change.apply(claim.row());
        return mTable.replace(claim.key(), claim.tag(), Table.toJson(next))
                .thenCompose(
                        write ->
                                write.outcome() == Outcome.WRITTEN
                                        ? CompletableFuture.completedFuture(SettlementResult.DONE)
                                        : readBack(claim, next, write.outcome()))
                .whenComplete(
                        (result, failure) -> {
                            if (result != SettlementResult.UNKNOWN) {
                                mOnDone.accept(claim);
                            }
                        });
    }

    /**
     * Reads the row back after a write that was not confirmed.
     *
     * @param next the row that was to be written
     * @param outcome result of the write
     */
    private CompletableFuture<SettlementResult> readBack(
            Claim claim, ClaimRow next, Outcome outcome) {
        return mTable.read(claim.key())
                .handle(
                        (row, failure) -> {
                            if (failure != null) {
                                return SettlementResult.UNKNOWN;
                            }
                            if (row.isEmpty() || !isOwnAttempt(row.get(), claim)) {
                                return SettlementResult.SUPERSEDED;
                            }
                            boolean asIntended = parse(row.get().value()).state() == next.state();
                            if (!asIntended && outcome == Outcome.CONFLICT) {
                                return SettlementResult.SUPERSEDED;
                            }
                            return asIntended ? SettlementResult.DONE : SettlementResult.UNKNOWN;
                        });
    }

    /**
     * Writes a new row, retrying in the background while the result is unknown.
     *
     * @param claim the claim
     * @param change creates the new row
     */
    void settleInBackground(Claim claim, Function<ClaimRow, ClaimRow> change) {
        settle(claim, change)
                .thenAccept(
                        result ->
                                retryIfUnknown(
                                        claim, result, () -> settleInBackground(claim, change)));
    }

    /** Schedules another try if the result is unknown and the claim has not expired. */
    private void retryIfUnknown(Claim claim, SettlementResult result, Runnable retry) {
        if (result == SettlementResult.UNKNOWN && isUnexpired(claim)) {
            mNode.control().schedule(retry, SETTLE_RETRY_MILLIS);
        } else {
            mOnDone.accept(claim);
        }
    }

    /**
     * Undoes a claim that may have been written, in the background. If there is no row, a released
     * one is inserted, so that a late write of the claim conflicts with it.
     *
     * @param intended the claim that was to be written
     */
    void abandonLater(Claim intended) {
        mOnDone.accept(intended);
        mNode.control().schedule(() -> abandon(intended), SETTLE_RETRY_MILLIS);
    }

    /** Tries once to undo a claim that may have been written. */
    private void abandon(Claim intended) {
        JsonNode released = Table.toJson(intended.row().asReleased());
        mTable.insert(intended.key(), released)
                .thenCompose(
                        write ->
                                write.outcome() == Outcome.CONFLICT
                                        ? releaseIfOwnAttempt(intended, released)
                                        : CompletableFuture.completedFuture(
                                                write.outcome() == Outcome.WRITTEN))
                .exceptionally(failure -> false)
                .thenAccept(
                        done -> {
                            if (!done && isUnexpired(intended)) {
                                abandonLater(intended);
                            }
                        });
    }

    /**
     * Releases the row if it was written by the given claim.
     *
     * @return whether the claim no longer blocks the request
     */
    private CompletableFuture<Boolean> releaseIfOwnAttempt(Claim intended, JsonNode released) {
        return mTable.read(intended.key())
                .thenCompose(
                        row -> {
                            if (row.isEmpty() || !isOwnAttempt(row.get(), intended)) {
                                return CompletableFuture.completedFuture(row.isPresent());
                            }
                            return mTable.replace(intended.key(), row.get().tag(), released)
                                    .thenApply(write -> write.outcome() == Outcome.WRITTEN);
                        });
    }

    private boolean isUnexpired(Claim claim) {
        return mWallMillis.getAsLong() < claim.row().expiresMillis();
    }

    /** Returns whether a row was written by a claim: their attempts are equal. */
    static boolean isOwnAttempt(Table.Row row, Claim claim) {
        return parse(row.value()).attempt().equals(claim.row().attempt());
    }

    /** Converts the value of a row. */
    static ClaimRow parse(JsonNode value) {
        return Json.mapper().convertValue(value, ClaimRow.class);
    }
}

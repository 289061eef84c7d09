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
 * Settles claims that are over: writes what came of them, and goes on in the background where the
 * table does not say whether it was written. Thread safe. Invariants: only a row of the claim's own
 * epoch is replaced; a claim of unknown fate is given up until its row says so or has expired.
 */
final class ClaimSettler {

    /** The largest answer that is kept in the row itself, bytes. */
    private static final int MAX_INLINE_BYTES = 4096;

    /** The largest answer that goes into the row when the object store is away, bytes. */
    private static final int MAX_FALLBACK_INLINE_BYTES = 65_536;

    /** How often a write whose fate is unknown is settled again, milliseconds. */
    private static final long SETTLE_RETRY_MILLIS = 300;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Where claims stand. */
    private final Table mTable;

    /** Where large answers are kept. */
    private final ObjectStore mObjects;

    /** The wall clock, milliseconds. */
    private final LongSupplier mWallMillis;

    /** Takes the claims that are over. */
    private final Consumer<Claim> mOnDone;

    /**
     * Creates a part that settles claims.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param table where claims stand
     * @param objects where large answers are kept
     * @param wallMillis the wall clock
     * @param forget takes the claims that are over; thread safe
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
     * Records that a request was answered. The end mark of the answer may be sent once this says
     * {@link SettlementResult#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     * @return what came of it; never fails
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
     * Records that a request was answered, until the table says so, in the background.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     */
    void recordAnswerInBackground(Claim claim, Optional<StoredAnswer> answer) {
        recordAnswer(claim, answer)
                .thenAccept(
                        settled ->
                                retryIfUnknown(
                                        claim,
                                        settled,
                                        () -> recordAnswerInBackground(claim, answer)));
    }

    /**
     * Writes the row of this router's epoch once.
     *
     * @param claim the claim
     * @param change what to make of the row
     * @return what came of it
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
                        (settled, failure) -> {
                            if (settled != SettlementResult.UNKNOWN) {
                                mOnDone.accept(claim);
                            }
                        });
    }

    /**
     * Reads what became of a row that was not written for certain.
     *
     * @param claim the claim
     * @param next the row as it should be
     * @param outcome what is known of the write
     * @return what came of it
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
     * Writes a row until its fate is known, in the background.
     *
     * @param claim the claim
     * @param change what to make of the row
     */
    void settleInBackground(Claim claim, Function<ClaimRow, ClaimRow> change) {
        settle(claim, change)
                .thenAccept(
                        settled ->
                                retryIfUnknown(
                                        claim, settled, () -> settleInBackground(claim, change)));
    }

    /**
     * Settles a claim again a little later where its fate is unknown and still matters.
     *
     * @param claim the claim
     * @param settled what is known
     * @param again settles it again
     */
    private void retryIfUnknown(Claim claim, SettlementResult settled, Runnable retry) {
        if (settled == SettlementResult.UNKNOWN && isUnexpired(claim)) {
            mNode.control().later(retry, SETTLE_RETRY_MILLIS);
        } else {
            mOnDone.accept(claim);
        }
    }

    /**
     * Gives up a claim that may or may not have been written, until the table says that it is not
     * in the way: it writes a released row where there is none, so that a late write finds it.
     *
     * @param wished the claim as it was meant
     */
    void abandonLater(Claim intended) {
        mOnDone.accept(intended);
        mNode.control().later(() -> abandon(intended), SETTLE_RETRY_MILLIS);
    }

    /**
     * Tries once to give up a claim that may or may not have been written.
     *
     * @param wished the claim as it was meant
     */
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
     * Releases a row if it is the one that was meant.
     *
     * @param wished the claim as it was meant
     * @param released the row as released
     * @return whether the row is not in the way any more
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

    /**
     * Returns whether it still matters what became of a claim.
     *
     * @param claim the claim
     * @return whether its row has not expired
     */
    private boolean isUnexpired(Claim claim) {
        return mWallMillis.getAsLong() < claim.row().expiresMillis();
    }

    /**
     * Returns whether a row is the one that a claim wrote.
     *
     * @param row the row
     * @param claim the claim
     * @return whether the attempt is the same
     */
    static boolean isOwnAttempt(Table.Row row, Claim claim) {
        return parse(row.value()).attempt().equals(claim.row().attempt());
    }

    /**
     * Parses a row.
     *
     * @param value the row's value
     * @return the claim in it
     */
    static ClaimRow parse(JsonNode value) {
        return Json.mapper().convertValue(value, ClaimRow.class);
    }
}

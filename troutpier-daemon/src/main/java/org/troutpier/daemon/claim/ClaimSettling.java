package org.troutpier.daemon.claim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.troutpier.common.http.Json;
import org.troutpier.daemon.claim.ClaimStore.Settled;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.objectstore.ObjectStore;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.table.Table.Outcome;

/**
 * Settles claims that are over: writes what came of them, and goes on in the background where the
 * table does not say whether it was written. Thread safe. Invariants: only a row of the claim's own
 * epoch is replaced; a claim of unknown fate is given up until its row says so or has expired.
 */
final class ClaimSettling {

    /** The largest answer that is kept in the row itself, bytes. */
    private static final int INLINE_BYTES = 4096;

    /** The largest answer that goes into the row when the object store is away, bytes. */
    private static final int FALLBACK_BYTES = 65_536;

    /** How often a write whose fate is unknown is settled again, milliseconds. */
    private static final long SETTLE_MILLIS = 300;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Where claims stand. */
    private final Table mTable;

    /** Where large answers are kept. */
    private final ObjectStore mObjects;

    /** The wall clock, milliseconds. */
    private final LongSupplier mWallMillis;

    /** Takes the claims that are over. */
    private final Consumer<Claim> mForget;

    /**
     * Creates a part that settles claims.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param table where claims stand
     * @param objects where large answers are kept
     * @param wallMillis the wall clock
     * @param forget takes the claims that are over; thread safe
     */
    ClaimSettling(
            Node node,
            Table table,
            ObjectStore objects,
            LongSupplier wallMillis,
            Consumer<Claim> forget) {
        mNode = node;
        mTable = table;
        mObjects = objects;
        mWallMillis = wallMillis;
        mForget = forget;
    }

    /**
     * Records that a request was answered. The end mark of the answer may be sent once this says
     * {@link Settled#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     * @return what came of it; never fails
     */
    CompletableFuture<Settled> answered(Claim claim, Optional<StoredAnswer> answer) {
        if (answer.isEmpty()) {
            return settle(claim, row -> row.answered(null));
        }
        byte[] bytes = answer.get().bytes();
        if (bytes.length <= INLINE_BYTES) {
            return settle(claim, row -> row.answeredInline(bytes));
        }
        String object = claim.key() + "/" + claim.row().epoch();
        return mObjects.write(object, bytes)
                .thenCompose(
                        written -> {
                            if (written) {
                                return settle(claim, row -> row.answered(object));
                            }
                            if (bytes.length <= FALLBACK_BYTES) {
                                mNode.count("claim.answer-kept-in-row");
                                return settle(claim, row -> row.answeredInline(bytes));
                            }
                            return CompletableFuture.completedFuture(Settled.UNKNOWN);
                        });
    }

    /**
     * Records that a request was answered, until the table says so, in the background.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     */
    void answeredInBackground(Claim claim, Optional<StoredAnswer> answer) {
        answered(claim, answer)
                .thenAccept(
                        settled -> goOn(claim, settled, () -> answeredInBackground(claim, answer)));
    }

    /**
     * Writes the row of this router's epoch once.
     *
     * @param claim the claim
     * @param change what to make of the row
     * @return what came of it
     */
    private CompletableFuture<Settled> settle(Claim claim, Function<ClaimRow, ClaimRow> change) {
        ClaimRow next = change.apply(claim.row());
        return mTable.replace(claim.key(), claim.tag(), Table.toJson(next))
                .thenCompose(
                        write ->
                                write.outcome() == Outcome.WRITTEN
                                        ? CompletableFuture.completedFuture(Settled.DONE)
                                        : readSettled(claim, next, write.outcome()))
                .whenComplete(
                        (settled, failure) -> {
                            if (settled != Settled.UNKNOWN) {
                                mForget.accept(claim);
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
    private CompletableFuture<Settled> readSettled(Claim claim, ClaimRow next, Outcome outcome) {
        return mTable.read(claim.key())
                .handle(
                        (row, failure) -> {
                            if (failure != null) {
                                return Settled.UNKNOWN;
                            }
                            if (row.isEmpty() || !mine(row.get(), claim)) {
                                return Settled.SUPERSEDED;
                            }
                            boolean same = parse(row.get().value()).state() == next.state();
                            if (!same && outcome == Outcome.CONFLICT) {
                                return Settled.SUPERSEDED;
                            }
                            return same ? Settled.DONE : Settled.UNKNOWN;
                        });
    }

    /**
     * Writes a row until its fate is known, in the background.
     *
     * @param claim the claim
     * @param change what to make of the row
     */
    void inBackground(Claim claim, Function<ClaimRow, ClaimRow> change) {
        settle(claim, change)
                .thenAccept(settled -> goOn(claim, settled, () -> inBackground(claim, change)));
    }

    /**
     * Settles a claim again a little later where its fate is unknown and still matters.
     *
     * @param claim the claim
     * @param settled what is known
     * @param again settles it again
     */
    private void goOn(Claim claim, Settled settled, Runnable again) {
        if (settled == Settled.UNKNOWN && worthSettling(claim)) {
            mNode.control().schedule(again, SETTLE_MILLIS);
        } else {
            mForget.accept(claim);
        }
    }

    /**
     * Gives up a claim that may or may not have been written, until the table says that it is not
     * in the way: it writes a released row where there is none, so that a late write finds it.
     *
     * @param wished the claim as it was meant
     */
    void giveUpLater(Claim wished) {
        mForget.accept(wished);
        mNode.control().schedule(() -> giveUp(wished), SETTLE_MILLIS);
    }

    /**
     * Tries once to give up a claim that may or may not have been written.
     *
     * @param wished the claim as it was meant
     */
    private void giveUp(Claim wished) {
        JsonNode released = Table.toJson(wished.row().released());
        mTable.insert(wished.key(), released)
                .thenCompose(
                        write ->
                                write.outcome() == Outcome.CONFLICT
                                        ? releaseIfMine(wished, released)
                                        : CompletableFuture.completedFuture(
                                                write.outcome() == Outcome.WRITTEN))
                .exceptionally(failure -> false)
                .thenAccept(
                        done -> {
                            if (!done && worthSettling(wished)) {
                                giveUpLater(wished);
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
    private CompletableFuture<Boolean> releaseIfMine(Claim wished, JsonNode released) {
        return mTable.read(wished.key())
                .thenCompose(
                        row -> {
                            if (row.isEmpty() || !mine(row.get(), wished)) {
                                return CompletableFuture.completedFuture(row.isPresent());
                            }
                            return mTable.replace(wished.key(), row.get().tag(), released)
                                    .thenApply(write -> write.outcome() == Outcome.WRITTEN);
                        });
    }

    /**
     * Returns whether it still matters what became of a claim.
     *
     * @param claim the claim
     * @return whether its row has not expired
     */
    private boolean worthSettling(Claim claim) {
        return mWallMillis.getAsLong() < claim.row().expiresMillis();
    }

    /**
     * Returns whether a row is the one that a claim wrote.
     *
     * @param row the row
     * @param claim the claim
     * @return whether the attempt is the same
     */
    static boolean mine(Table.Row row, Claim claim) {
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

package org.troutpier.daemon.claim;

import java.util.Base64;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.objectstore.ObjectStore;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.table.Table.WriteResult;

/**
 * Takes, settles and gives up claims on keyed requests. Thread safe. Invariant: an answer counts as
 * given only once the row of this router's own epoch says so, and a write whose acknowledgement was
 * lost is settled by reading its attempt back.
 */
public final class ClaimStore {

    /** Where claims stand in the table. */
    public static final String PREFIX = "claims/";

    /** How long a claim row stays beyond its lease at least, milliseconds. */
    private static final long MILLIS = 1000;

    /** How many characters of a key's hash name its row. */
    private static final int HASH_LENGTH = 40;

    /** How many times the same row is tried when others write it too. */
    private static final int MOST_ROUNDS = 5;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Where claims stand. */
    private final Table mTable;

    /** Where large answers are kept. */
    private final ObjectStore mObjects;

    /** Who is gone. */
    private final Membership mMembership;

    /** Where this router takes callers. */
    private final String mUrl;

    /** The wall clock, milliseconds. */
    private final LongSupplier mWallMillis;

    /** Settles claims that are over. */
    private final ClaimSettling mSettling;

    /** The attempts of this router that are under way. */
    private final Set<String> mAttempts = ConcurrentHashMap.newKeySet();

    /**
     * Creates a store.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param table where claims stand
     * @param objects where large answers are kept
     * @param membership who is gone
     * @param url where this router takes callers
     * @param wallMillis the wall clock
     */
    public ClaimStore(
            Node node,
            Table table,
            ObjectStore objects,
            Membership membership,
            String url,
            LongSupplier wallMillis) {
        mNode = node;
        mTable = table;
        mObjects = objects;
        mMembership = membership;
        mUrl = url;
        mWallMillis = wallMillis;
        mSettling = new ClaimSettling(node, table, objects, wallMillis, this::forget);
    }

    /** What settling a claim came to. */
    public enum Settled {
        /** The row says what it should. */
        DONE,
        /** Another router has taken over. */
        SUPERSEDED,
        /** The table does not say. */
        UNKNOWN
    }

    /**
     * Asks for a claim.
     *
     * @param declared the request's class
     * @param key the caller's key
     * @param fingerprint the hash of the request
     * @return what came of it; never fails
     */
    public CompletableFuture<ClaimOutcome> begin(
            ClassDeclaration declared, String key, String fingerprint) {
        String rowKey = rowKey(declared.partner(), key);
        long safeUntil = safeUntil(declared);
        ClaimRow row = row(declared, fingerprint, 1);
        mAttempts.add(row.attempt());
        return mTable.insert(rowKey, Table.toJson(row))
                .thenCompose(
                        write ->
                                settleBegin(
                                        declared,
                                        new Claim(rowKey, null, row, safeUntil),
                                        write,
                                        0))
                .exceptionally(failure -> ClaimOutcome.TableAway.INSTANCE);
    }

    /**
     * Returns the key of a claim's row.
     *
     * @param partner the partner, so that two partners' keys never meet
     * @param key the caller's key
     * @return the row's key
     */
    public static String rowKey(PartnerId partner, String key) {
        return PREFIX + partner + "/" + Tokens.hash(key).substring(0, HASH_LENGTH);
    }

    /**
     * Makes a row that says this router runs the request.
     *
     * @param declared the class
     * @param fingerprint the hash of the request
     * @param epoch the epoch
     * @return the row
     */
    private ClaimRow row(ClassDeclaration declared, String fingerprint, long epoch) {
        long now = mWallMillis.getAsLong();
        long leaseEnd = now + declared.deadlineMillis();
        long expires = leaseEnd + declared.keepAnswerSeconds() * MILLIS;
        return new ClaimRow(
                ClaimRow.State.RUNNING,
                mNode.incarnation(),
                mUrl,
                epoch,
                UUID.randomUUID().toString(),
                fingerprint,
                leaseEnd,
                expires,
                null,
                null,
                null);
    }

    /**
     * Returns until when a claim taken now is safe.
     *
     * @param declared the class
     * @return nanoseconds by the monotonic clock
     */
    private long safeUntil(ClassDeclaration declared) {
        final long nanosPerMilli = 1_000_000L;
        return mNode.nanos().getAsLong() + declared.deadlineMillis() * nanosPerMilli;
    }

    /**
     * Goes on after the write that asks for a claim.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param write what is known of the write
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> settleBegin(
            ClassDeclaration declared, Claim wished, WriteResult write, int round) {
        return switch (write.outcome()) {
            case WRITTEN -> CompletableFuture.completedFuture(granted(wished, write.tag()));
            case NOT_SENT -> {
                forget(wished);
                yield CompletableFuture.completedFuture(ClaimOutcome.TableAway.INSTANCE);
            }
            case CONFLICT -> examine(declared, wished, round);
            case UNKNOWN ->
                    mTable.read(wished.key())
                            .thenCompose(row -> readBack(declared, wished, row, round))
                            .exceptionally(
                                    failure -> {
                                        mSettling.giveUpLater(wished);
                                        return ClaimOutcome.TableAway.INSTANCE;
                                    });
        };
    }

    /**
     * Goes on after reading back a write whose acknowledgement was lost.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param row the row as it stands
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> readBack(
            ClassDeclaration declared, Claim wished, Optional<Table.Row> row, int round) {
        if (row.isPresent() && ClaimSettling.mine(row.get(), wished)) {
            mNode.count("claim.acknowledgement-recovered");
            return CompletableFuture.completedFuture(granted(wished, row.get().tag()));
        }
        if (row.isPresent()) {
            return decide(declared, wished, row.get(), round);
        }
        mSettling.giveUpLater(wished);
        return CompletableFuture.completedFuture(ClaimOutcome.TableAway.INSTANCE);
    }

    /**
     * Reads a row that is in the way and decides.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> examine(
            ClassDeclaration declared, Claim wished, int round) {
        return mTable.read(wished.key())
                .thenCompose(
                        row -> {
                            if (row.isPresent()) {
                                return decide(declared, wished, row.get(), round);
                            }
                            return retryInsert(declared, wished, round);
                        });
    }

    /**
     * Tries again to insert a row that was in the way and is gone.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> retryInsert(
            ClassDeclaration declared, Claim wished, int round) {
        if (round >= MOST_ROUNDS) {
            return refused(wished, ResultCode.ALREADY_RUNNING, "the claim changes hands");
        }
        return mTable.insert(wished.key(), Table.toJson(wished.row()))
                .thenCompose(write -> settleBegin(declared, wished, write, round + 1));
    }

    /**
     * Decides what to do about a row that is in the way.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param found the row as it stands
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> decide(
            ClassDeclaration declared, Claim wished, Table.Row found, int round) {
        ClaimRow row = ClaimSettling.parse(found.value());
        Incarnation holder = row.holder();
        boolean lostHere = holder.equals(mNode.incarnation()) && !mAttempts.contains(row.attempt());
        boolean gone = lostHere || mMembership.isGone(holder);
        String fingerprint = wished.row().fingerprint();
        ClaimRules.Decision decision =
                ClaimRules.decide(row, fingerprint, declared, gone, mWallMillis.getAsLong());
        return switch (decision) {
            case REPLAY -> replay(wished, row);
            case TAKE_OVER -> takeOver(declared, wished, found, row, round);
            case RUNNING -> refused(wished, ResultCode.ALREADY_RUNNING, "held by " + holder);
            case HOLDER_GONE -> refused(wished, ResultCode.HOLDER_GONE, "was held by " + holder);
            case KEY_REUSED -> refused(wished, ResultCode.KEY_REUSED, "the body differs");
            case TELL_END ->
                    refused(wished, ResultCode.valueOf(row.endCode()), "the first try ended so");
        };
    }

    /**
     * Takes a request over.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param found the row as it stands
     * @param row the same, parsed
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> takeOver(
            ClassDeclaration declared, Claim wished, Table.Row found, ClaimRow row, int round) {
        if (round >= MOST_ROUNDS) {
            return refused(wished, ResultCode.ALREADY_RUNNING, "the claim changes hands");
        }
        forget(wished);
        long safeUntil = safeUntil(declared);
        ClaimRow next = row(declared, row.fingerprint(), row.epoch() + 1);
        mAttempts.add(next.attempt());
        mNode.count("claim.taken-over");
        mNode.events().record("claim-taken-over", wished.key(), "from " + row.holder());
        Claim claim = new Claim(wished.key(), null, next, safeUntil);
        return mTable.replace(wished.key(), found.tag(), Table.toJson(next))
                .thenCompose(write -> settleBegin(declared, claim, write, round + 1));
    }

    /**
     * Fetches a kept answer.
     *
     * @param wished the claim as it was meant
     * @param row the claim as it stands
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> replay(Claim wished, ClaimRow row) {
        forget(wished);
        if (row.answerInline() != null) {
            byte[] bytes = Base64.getDecoder().decode(row.answerInline());
            return CompletableFuture.completedFuture(
                    new ClaimOutcome.Replayed(StoredAnswer.of(bytes)));
        }
        if (row.answerObject() == null) {
            return refused(wished, ResultCode.ANSWER_NOT_KEPT, "answered by " + row.holder());
        }
        return mObjects.read(row.answerObject())
                .handle(
                        (object, failure) -> {
                            if (failure != null) {
                                return new ClaimOutcome.Refused(
                                        ResultCode.OUTCOME_NOT_RECORDED,
                                        "answered, but the object store is away");
                            }
                            return object.<ClaimOutcome>map(
                                            bytes ->
                                                    new ClaimOutcome.Replayed(
                                                            StoredAnswer.of(bytes)))
                                    .orElseGet(
                                            () ->
                                                    new ClaimOutcome.Refused(
                                                            ResultCode.ANSWER_NOT_KEPT,
                                                            "the answer is no longer kept"));
                        });
    }

    /**
     * Records that a request was answered. The end mark of the answer may be sent once this says
     * {@link Settled#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     * @return what came of it; never fails
     */
    public CompletableFuture<Settled> answered(Claim claim, Optional<StoredAnswer> answer) {
        return mSettling.answered(claim, answer);
    }

    /**
     * Records that a request was answered, until the table says so, in the background.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     */
    public void answeredInBackground(Claim claim, Optional<StoredAnswer> answer) {
        mSettling.answeredInBackground(claim, answer);
    }

    /**
     * Gives a claim up: the request was not run, or may be run again.
     *
     * @param claim the claim
     */
    public void released(Claim claim) {
        mSettling.inBackground(claim, ClaimRow::released);
    }

    /**
     * Records that a request ended without an answer.
     *
     * @param claim the claim
     * @param code how it ended
     */
    public void ended(Claim claim, ResultCode code) {
        mSettling.inBackground(claim, row -> row.ended(code.name()));
    }

    /**
     * Takes note that a claim is this router's.
     *
     * @param wished the claim as it was meant
     * @param tag the tag of its row
     * @return the outcome
     */
    private static ClaimOutcome granted(Claim wished, String tag) {
        return new ClaimOutcome.Granted(
                new Claim(wished.key(), tag, wished.row(), wished.safeUntilNanos()));
    }

    /**
     * Refuses a claim.
     *
     * @param wished the claim as it was meant
     * @param code why
     * @param detail what exactly
     * @return the outcome
     */
    private CompletableFuture<ClaimOutcome> refused(Claim wished, ResultCode code, String detail) {
        forget(wished);
        return CompletableFuture.completedFuture(new ClaimOutcome.Refused(code, detail));
    }

    /**
     * Takes note that an attempt is over.
     *
     * @param claim the claim
     */
    private void forget(Claim claim) {
        mAttempts.remove(claim.row().attempt());
    }
}

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
    private static final long MILLIS_PER_SECOND = 1000;

    /** How many characters of a key's hash name its row. */
    private static final int HASH_LENGTH = 40;

    /** How many times the same row is tried when others write it too. */
    private static final int MAX_ROUNDS = 5;

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
    private final ClaimSettler mSettler;

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
        mSettler = new ClaimSettler(node, table, objects, wallMillis, this::removeAttempt);
    }

    /** What settling a claim came to. */
    public enum SettlementResult {
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
    public CompletableFuture<ClaimOutcome> acquire(
            ClassDeclaration requestClass, String key, String fingerprint) {
        String rowKey = rowKey(requestClass.partner(), key);
        long safeUntil = safeUntil(requestClass);
        ClaimRow row = newRow(requestClass, fingerprint, 1);
        mAttempts.add(row.attempt());
        return mTable.insert(rowKey, Table.toJson(row))
                .thenCompose(
                        write ->
                                onWriteResult(
                                        requestClass,
                                        new Claim(rowKey, null, row, safeUntil),
                                        write,
                                        0))
                .exceptionally(failure -> ClaimOutcome.TableUnavailable.INSTANCE);
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
    private ClaimRow newRow(ClassDeclaration requestClass, String fingerprint, long epoch) {
        long now = mWallMillis.getAsLong();
        long leaseEnd = now + requestClass.deadlineMillis();
        long expires = leaseEnd + requestClass.keepAnswerSeconds() * MILLIS_PER_SECOND;
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
    private long safeUntil(ClassDeclaration requestClass) {
        final long nanosPerMilli = 1_000_000L;
        return mNode.nanos().getAsLong() + requestClass.deadlineMillis() * nanosPerMilli;
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
    private CompletableFuture<ClaimOutcome> onWriteResult(
            ClassDeclaration requestClass, Claim intended, WriteResult write, int round) {
        return switch (write.outcome()) {
            case WRITTEN -> CompletableFuture.completedFuture(granted(intended, write.tag()));
            case NOT_SENT -> {
                removeAttempt(intended);
                yield CompletableFuture.completedFuture(ClaimOutcome.TableUnavailable.INSTANCE);
            }
            case CONFLICT -> readExisting(requestClass, intended, round);
            case UNKNOWN ->
                    mTable.read(intended.key())
                            .thenCompose(row -> onReadBack(requestClass, intended, row, round))
                            .exceptionally(
                                    failure -> {
                                        mSettler.abandonLater(intended);
                                        return ClaimOutcome.TableUnavailable.INSTANCE;
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
    private CompletableFuture<ClaimOutcome> onReadBack(
            ClassDeclaration requestClass, Claim intended, Optional<Table.Row> row, int round) {
        if (row.isPresent() && ClaimSettler.isOwnAttempt(row.get(), intended)) {
            mNode.count("claim.acknowledgement-recovered");
            return CompletableFuture.completedFuture(granted(intended, row.get().tag()));
        }
        if (row.isPresent()) {
            return decide(requestClass, intended, row.get(), round);
        }
        mSettler.abandonLater(intended);
        return CompletableFuture.completedFuture(ClaimOutcome.TableUnavailable.INSTANCE);
    }

    /**
     * Reads a row that is in the way and decides.
     *
     * @param declared the class
     * @param wished the claim as it was meant
     * @param round how many times the row was tried
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> readExisting(
            ClassDeclaration requestClass, Claim intended, int round) {
        return mTable.read(intended.key())
                .thenCompose(
                        row -> {
                            if (row.isPresent()) {
                                return decide(requestClass, intended, row.get(), round);
                            }
                            return retryInsert(requestClass, intended, round);
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
            ClassDeclaration requestClass, Claim intended, int round) {
        if (round >= MAX_ROUNDS) {
            return refused(intended, ResultCode.ALREADY_RUNNING, "the claim changes hands");
        }
        return mTable.insert(intended.key(), Table.toJson(intended.row()))
                .thenCompose(write -> onWriteResult(requestClass, intended, write, round + 1));
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
            ClassDeclaration requestClass, Claim intended, Table.Row found, int round) {
        ClaimRow row = ClaimSettler.parse(found.value());
        Incarnation holder = row.holder();
        boolean lostByThisRouter =
                holder.equals(mNode.incarnation()) && !mAttempts.contains(row.attempt());
        boolean holderGone = lostByThisRouter || mMembership.isGone(holder);
        String fingerprint = intended.row().fingerprint();
        ClaimRules.Decision decision =
                ClaimRules.decide(
                        row, fingerprint, requestClass, holderGone, mWallMillis.getAsLong());
        return switch (decision) {
            case REPLAY -> replay(intended, row);
            case TAKE_OVER -> takeOver(requestClass, intended, found, row, round);
            case RUNNING -> refused(intended, ResultCode.ALREADY_RUNNING, "held by " + holder);
            case HOLDER_GONE -> refused(intended, ResultCode.HOLDER_GONE, "was held by " + holder);
            case KEY_REUSED -> refused(intended, ResultCode.KEY_REUSED, "the body differs");
            case REPORT_END ->
                    refused(intended, ResultCode.valueOf(row.endCode()), "the first try ended so");
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
            ClassDeclaration requestClass,
            Claim intended,
            Table.Row found,
            ClaimRow row,
            int round) {
        if (round >= MAX_ROUNDS) {
            return refused(intended, ResultCode.ALREADY_RUNNING, "the claim changes hands");
        }
        removeAttempt(intended);
        long safeUntil = safeUntil(requestClass);
        ClaimRow next = newRow(requestClass, row.fingerprint(), row.epoch() + 1);
        mAttempts.add(next.attempt());
        mNode.count("claim.taken-over");
        mNode.events().record("claim-taken-over", intended.key(), "from " + row.holder());
        Claim claim = new Claim(intended.key(), null, next, safeUntil);
        return mTable.replace(intended.key(), found.tag(), Table.toJson(next))
                .thenCompose(write -> onWriteResult(requestClass, claim, write, round + 1));
    }

    /**
     * Fetches a kept answer.
     *
     * @param wished the claim as it was meant
     * @param row the claim as it stands
     * @return what came of it
     */
    private CompletableFuture<ClaimOutcome> replay(Claim intended, ClaimRow row) {
        removeAttempt(intended);
        if (row.answerInline() != null) {
            byte[] bytes = Base64.getDecoder().decode(row.answerInline());
            return CompletableFuture.completedFuture(
                    new ClaimOutcome.Replayed(StoredAnswer.decode(bytes)));
        }
        if (row.answerObject() == null) {
            return refused(intended, ResultCode.ANSWER_NOT_KEPT, "answered by " + row.holder());
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
                                                            StoredAnswer.decode(bytes)))
                                    .orElseGet(
                                            () ->
                                                    new ClaimOutcome.Refused(
                                                            ResultCode.ANSWER_NOT_KEPT,
                                                            "the answer is no longer kept"));
                        });
    }

    /**
     * Records that a request was answered. The end mark of the answer may be sent once this says
     * {@link SettlementResult#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     * @return what came of it; never fails
     */
    public CompletableFuture<SettlementResult> recordAnswer(
            Claim claim, Optional<StoredAnswer> answer) {
        return mSettler.recordAnswer(claim, answer);
    }

    /**
     * Records that a request was answered, until the table says so, in the background.
     *
     * @param claim the claim
     * @param answer the answer to keep, or empty where it is too large
     */
    public void recordAnswerInBackground(Claim claim, Optional<StoredAnswer> answer) {
        mSettler.recordAnswerInBackground(claim, answer);
    }

    /**
     * Gives a claim up: the request was not run, or may be run again.
     *
     * @param claim the claim
     */
    public void release(Claim claim) {
        mSettler.settleInBackground(claim, ClaimRow::asReleased);
    }

    /**
     * Records that a request ended without an answer.
     *
     * @param claim the claim
     * @param code how it ended
     */
    public void recordEnd(Claim claim, ResultCode code) {
        mSettler.settleInBackground(claim, row -> row.asEnded(code.name()));
    }

    /**
     * Takes note that a claim is this router's.
     *
     * @param wished the claim as it was meant
     * @param tag the tag of its row
     * @return the outcome
     */
    private static ClaimOutcome granted(Claim intended, String tag) {
        return new ClaimOutcome.Granted(
                new Claim(intended.key(), tag, intended.row(), intended.safeUntilNanos()));
    }

    /**
     * Refuses a claim.
     *
     * @param wished the claim as it was meant
     * @param code why
     * @param detail what exactly
     * @return the outcome
     */
    private CompletableFuture<ClaimOutcome> refused(
            Claim intended, ResultCode code, String detail) {
        removeAttempt(intended);
        return CompletableFuture.completedFuture(new ClaimOutcome.Refused(code, detail));
    }

    /**
     * Takes note that an attempt is over.
     *
     * @param claim the claim
     */
    private void removeAttempt(Claim claim) {
        mAttempts.remove(claim.row().attempt());
    }
}

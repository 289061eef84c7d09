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
 * Acquires, settles and releases claims on requests with idempotency keys. Thread safe. Invariants:
 * an answer counts as delivered only once the row of this router's epoch records it; a write whose
 * acknowledgement was lost is resolved by reading the row and comparing its attempt.
 */
public final class ClaimStore {

    /** Prefix of the keys of claim rows. */
    public static final String PREFIX = "claims/";

    private static final long MILLIS_PER_SECOND = 1000;

    /** Number of characters of the key's hash that are used in the row key. */
    private static final int HASH_LENGTH = 40;

    /** Maximum number of retries if other routers write the same row concurrently. */
    private static final int MAX_ROUNDS = 5;

    private final Node mNode;

    private final Table mTable;

    private final ObjectStore mObjects;

    /** Used to determine whether the holder of a claim is gone. */
    private final Membership mMembership;

    /** URL at which this router accepts callers. */
    private final String mUrl;

    private final LongSupplier mWallMillis;

    private final ClaimSettler mSettler;

    /**
     * Attempts of this router in progress. A row of this router with another attempt is orphaned.
     */
    private final Set<String> mAttempts = ConcurrentHashMap.newKeySet();

    /**
     * Creates a store.
     *
     * @param node identity, threads, clock and metrics of this router
     * @param table the table of claims
     * @param objects store of large answers
     * @param membership determines which routers are gone
     * @param url URL at which this router accepts callers
     * @param wallMillis wall clock
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

    /** Result of settling a claim. */
    public enum SettlementResult {
        /** The outcome is recorded. */
        DONE,
        /** Another router has taken over. */
        SUPERSEDED,
        /** It is not known whether the outcome was recorded. */
        UNKNOWN
    }

    /**
     * Acquires the claim on a request.
     *
     * @param requestClass class of the request
     * @param key idempotency key of the caller
     * @param fingerprint hash of the request
     * @return the outcome; never fails
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
     * Returns the key of a claim's row. It contains the partner, so that keys of different partners
     * cannot collide.
     *
     * @param partner the partner
     * @param key idempotency key of the caller
     * @return the key of the row
     */
    public static String rowKey(PartnerId partner, String key) {
        return PREFIX + partner + "/" + Tokens.hash(key).substring(0, HASH_LENGTH);
    }

    /** Creates a row in state {@code RUNNING} that is held by this router. */
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
     * Returns the time on the monotonic clock until which a claim made now is protected by its
     * lease.
     */
    private long safeUntil(ClassDeclaration requestClass) {
        final long nanosPerMilli = 1_000_000L;
        return mNode.nanos().getAsLong() + requestClass.deadlineMillis() * nanosPerMilli;
    }

    /**
     * Continues after the write of a claim.
     *
     * @param intended the claim that was to be written
     * @param write result of the write
     * @param round number of previous tries
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

    /** Continues after a row was read back because the acknowledgement of its write was lost. */
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

    /** Reads the row that conflicts with a claim and decides what to do. */
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

    /** Tries again to insert a row after the conflicting one has disappeared. */
    private CompletableFuture<ClaimOutcome> retryInsert(
            ClassDeclaration requestClass, Claim intended, int round) {
        if (round >= MAX_ROUNDS) {
            return refused(intended, ResultCode.ALREADY_RUNNING, "the claim changes hands");
        }
        return mTable.insert(intended.key(), Table.toJson(intended.row()))
                .thenCompose(write -> onWriteResult(requestClass, intended, write, round + 1));
    }

    /** Decides what to do about an existing row. */
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

    /** Takes over a request with a higher epoch. */
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

    /** Returns the stored answer. */
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
     * Records that a request was answered. The end mark of the answer may be sent once this returns
     * {@link SettlementResult#DONE}.
     *
     * @param claim the claim
     * @param answer the answer to store; empty if it is too large
     * @return the result; never fails
     */
    public CompletableFuture<SettlementResult> recordAnswer(
            Claim claim, Optional<StoredAnswer> answer) {
        return mSettler.recordAnswer(claim, answer);
    }

    /**
     * Records that a request was answered, retrying in the background until the table confirms it.
     *
     * @param claim the claim
     * @param answer the answer to store; empty if it is too large
     */
    public void recordAnswerInBackground(Claim claim, Optional<StoredAnswer> answer) {
        mSettler.recordAnswerInBackground(claim, answer);
    }

    /** Releases a claim in the background: the request was not run, or may be run again. */
    public void release(Claim claim) {
        mSettler.settleInBackground(claim, ClaimRow::asReleased);
    }

    /**
     * Records in the background that a request ended without an answer.
     *
     * @param claim the claim
     * @param code result code of the request
     */
    public void recordEnd(Claim claim, ResultCode code) {
        mSettler.settleInBackground(claim, row -> row.asEnded(code.name()));
    }

    private static ClaimOutcome granted(Claim intended, String tag) {
        return new ClaimOutcome.Granted(
                new Claim(intended.key(), tag, intended.row(), intended.safeUntilNanos()));
    }

    private CompletableFuture<ClaimOutcome> refused(
            Claim intended, ResultCode code, String detail) {
        removeAttempt(intended);
        return CompletableFuture.completedFuture(new ClaimOutcome.Refused(code, detail));
    }

    private void removeAttempt(Claim claim) {
        mAttempts.remove(claim.row().attempt());
    }
}

package org.troutpier.daemon.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.claim.Claim;
import org.troutpier.daemon.claim.ClaimStore.SettlementResult;
import org.troutpier.daemon.claim.StoredAnswer;

/**
 * The claim of one request on its idempotency key. Confined to the event loop of the caller's
 * connection. Invariant: a claim that is held is settled once, by its answer, its end or its
 * release.
 */
final class HeldClaim {

    /** Delay before a failed attempt to record an outcome is retried. */
    private static final long RECORD_RETRY_MILLIS = 200;

    /** Time before the end of a lease from which it is no longer relied on. */
    private static final long LEASE_MARGIN_NANOS = 2_000_000_000L;

    private final ExchangeServices mServices;

    private final Arrival mArrival;

    /** The claim; null if none is held. */
    private Claim mClaim;

    /** Creates an instance that holds no claim. */
    HeldClaim(ExchangeServices services, Arrival arrival) {
        mServices = services;
        mArrival = arrival;
    }

    void hold(Claim claim) {
        mClaim = claim;
    }

    boolean isHeld() {
        return mClaim != null;
    }

    /** Returns whether the lease lasts long enough to record the answer after it was sent. */
    boolean outlastsRecording() {
        long leaseNanos = mClaim.safeUntilNanos() - mServices.node().nanos().getAsLong();
        return leaseNanos > LEASE_MARGIN_NANOS;
    }

    /**
     * Records the answer without waiting for the result.
     *
     * @param answer the answer; empty if it is too large to be stored
     */
    void recordInBackground(Optional<StoredAnswer> answer) {
        mServices.claims().recordAnswerInBackground(mClaim, answer);
        mClaim = null;
    }

    /**
     * Records the answer, and tries again until the result is known or the claim is settled
     * otherwise.
     *
     * @param answer the answer; empty if it is too large to be stored
     * @param listener called once the result is known, on the event loop, with whether the answer
     *     was recorded; if not, another router holds a higher epoch
     */
    void record(Optional<StoredAnswer> answer, Consumer<Boolean> listener) {
        if (mClaim != null) {
            mServices
                    .claims()
                    .recordAnswer(mClaim, answer)
                    .thenAccept(
                            result -> mArrival.runOnLoop(() -> onResult(result, answer, listener)));
        }
    }

    private void onResult(
            SettlementResult result, Optional<StoredAnswer> answer, Consumer<Boolean> listener) {
        if (mClaim == null) {
            return;
        }
        switch (result) {
            case DONE, SUPERSEDED -> {
                mClaim = null;
                listener.accept(result == SettlementResult.DONE);
            }
            default ->
                    mArrival.exchange()
                            .loop()
                            .schedule(
                                    () -> record(answer, listener),
                                    RECORD_RETRY_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Settles the claim of a request that ended without an answer, if one is held.
     *
     * @param mayHaveRun whether an upstream may have run the request
     * @param code how it ended
     */
    void settle(boolean mayHaveRun, ResultCode code) {
        if (mClaim == null) {
            return;
        }
        if (mayHaveRun && !mArrival.requestClass().repeatable()) {
            mServices.claims().recordEnd(mClaim, code);
        } else {
            mServices.claims().release(mClaim);
        }
        mClaim = null;
    }
}

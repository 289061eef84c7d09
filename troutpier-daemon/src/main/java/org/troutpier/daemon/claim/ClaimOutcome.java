package org.troutpier.daemon.claim;

import org.troutpier.common.result.ResultCode;

/** Result of an attempt to acquire a claim. Implementations are immutable and thread safe. */
public interface ClaimOutcome {

    /** This router holds the claim and runs the request. */
    record Granted(Claim claim) implements ClaimOutcome {}

    /** The request has already been answered and the answer is stored. */
    record Replayed(StoredAnswer answer) implements ClaimOutcome {}

    /**
     * The request must not be run.
     *
     * @param code why
     * @param detail detail of the refusal
     */
    record Refused(ResultCode code, String detail) implements ClaimOutcome {}

    /** The table is unavailable, so it is not known whether it contains a claim on the request. */
    enum TableUnavailable implements ClaimOutcome {
        /** The singleton. */
        INSTANCE
    }
}

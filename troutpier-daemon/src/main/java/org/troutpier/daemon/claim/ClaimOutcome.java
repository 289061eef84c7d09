package org.troutpier.daemon.claim;

import org.troutpier.common.result.ResultCode;

/** What came of asking for a claim. Implementations are immutable and thread safe. */
public interface ClaimOutcome {

    /**
     * The request is this router's to run.
     *
     * @param claim the claim
     */
    record Granted(Claim claim) implements ClaimOutcome {}

    /**
     * The request was answered before and the answer is kept.
     *
     * @param answer the answer
     */
    record Replayed(StoredAnswer answer) implements ClaimOutcome {}

    /**
     * The request must not be run.
     *
     * @param code why
     * @param detail what exactly
     */
    record Refused(ResultCode code, String detail) implements ClaimOutcome {}

    /** The table is away and nothing of this request stands in it for certain. */
    enum TableUnavailable implements ClaimOutcome {
        /** The only instance. */
        INSTANCE
    }
}

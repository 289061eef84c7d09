package org.troutpier.daemon.request;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.admission.Grant;

/**
 * Decides about engines that stay silent in the middle of an attempt, which may be paused or have
 * ended: when to search others, and which others promise more. Immutable and thread safe.
 * Invariant: the limits start a search only; no attempt ends by them alone.
 *
 * @param grant the engines of the attempt
 * @param stage the stage in which it is silent
 */
record EngineSilence(Grant grant, Stage stage) {

    /** Duration of a prefill after which others are searched: long prompts take seconds. */
    private static final long PREFILL_MILLIS = 4000;

    /** Time from the decode request to the first token after which others are searched. */
    private static final long TRANSFER_MILLIS = 2000;

    /** Time without a token after which others are searched. */
    private static final long TOKEN_MILLIS = 3000;

    /** Returns whether others are to be searched after a time without progress. */
    boolean isDue(long silentNanos) {
        long limitMillis =
                switch (stage) {
                    case PREFILL -> PREFILL_MILLIS;
                    case TRANSFER -> TRANSFER_MILLIS;
                    case DECODE -> TOKEN_MILLIS;
                    default -> Long.MAX_VALUE;
                };
        return TimeUnit.NANOSECONDS.toMillis(silentNanos) > limitMillis;
    }

    /** Returns what has not arrived, for log lines. */
    String missing() {
        return switch (stage) {
            case PREFILL -> "no prefill";
            case TRANSFER -> "no first token";
            default -> "no next token";
        };
    }

    /** Returns the engines that may be the cause. */
    Set<UpstreamId> suspects() {
        return switch (stage) {
            case PREFILL -> Set.of(grant.prefill().id());
            case TRANSFER -> Set.of(grant.prefill().id(), grant.main().id());
            default -> Set.of(grant.main().id());
        };
    }

    /** Returns whether a grant avoids what is silent: an engine, or a transfer between two. */
    boolean isAvoidedBy(Grant found) {
        boolean otherPrefill = !found.prefill().id().equals(grant.prefill().id());
        boolean otherDecode = !found.main().id().equals(grant.main().id());
        return switch (stage) {
            case PREFILL -> otherPrefill;
            case TRANSFER -> otherPrefill || otherDecode;
            default -> otherDecode;
        };
    }
}

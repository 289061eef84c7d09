package org.troutpier.daemon.request;

import java.util.Locale;

/** Stages of the handling of a request. Immutable and thread safe. */
public enum Stage {
    /** Parsed and classified. */
    RECEIVED,
    /** Acquiring the claim on the idempotency key. */
    CLAIMING,
    /** Waiting for admission. */
    QUEUED,
    /** At a prefill engine. */
    PREFILL,
    /** A decode engine is fetching the prefill result. */
    TRANSFER,
    /** A decode engine is generating tokens. */
    DECODE,
    /** At a plain service. */
    CALLING,
    /** The answer is complete and its outcome is being recorded. */
    ANSWERING,
    /** Answered or refused, or the caller has disconnected. */
    OVER;

    /** Returns whether an upstream may have received the request. */
    public boolean isAtUpstream() {
        return this == PREFILL || this == TRANSFER || this == DECODE || this == CALLING;
    }

    /** Returns the lower-case name, as shown to operators and callers. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package org.troutpier.daemon.request;

import java.util.Locale;

/** Where a request is in its handling. Immutable and thread safe. */
public enum Stage {
    /** It was read and classified. */
    RECEIVED,
    /** A claim on its key is being asked for. */
    CLAIMING,
    /** It waits for room. */
    QUEUED,
    /** A prefill engine has it. */
    PREFILL,
    /** A decode engine fetches the prefill's result. */
    TRANSFER,
    /** A decode engine generates. */
    DECODE,
    /** A plain service has it. */
    CALLING,
    /** The answer is complete and its outcome is being recorded. */
    ANSWERING,
    /** It got its one answer or refusal, or its caller is gone. */
    OVER;

    /**
     * Returns whether an upstream may have the request.
     *
     * @return whether bytes may have left
     */
    public boolean isAtUpstream() {
        return this == PREFILL || this == TRANSFER || this == DECODE || this == CALLING;
    }

    /**
     * Returns the name for people.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

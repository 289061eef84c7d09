package org.troutpier.common.declaration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A request class: what it asks for, by when, and what may be done to get it. Immutable and thread
 * safe.
 *
 * @param name the class
 * @param partner the partner it belongs to
 * @param kind whether it asks a model or a plain service
 * @param serves the model or service that it asks
 * @param repeatable whether a request may be sent again once bytes may have left
 * @param keyed whether each request must bring an {@code Idempotency-Key}
 * @param firstTokenMillis the first token's target, 0 for none
 * @param perTokenMillis the target between tokens, 0 for none
 * @param deadlineMillis when a request is given up, from its arrival
 * @param whenTableUnavailable what to do with a keyed request while the table is away
 * @param answerCommit whether the outcome is recorded before or after the end mark
 * @param keepAnswerSeconds how long the answer of a keyed request is kept
 * @param maxBodyBytes the largest body
 */
public record ClassDeclaration(
        ClassName name,
        PartnerId partner,
        Kind kind,
        String serves,
        boolean repeatable,
        boolean keyed,
        int firstTokenMillis,
        int perTokenMillis,
        int deadlineMillis,
        TableOutagePolicy whenTableUnavailable,
        AnswerCommit answerCommit,
        Integer keepAnswerSeconds,
        Integer maxBodyBytes) {

    /** The longest target, milliseconds. */
    private static final int MAX_TARGET = 600_000;

    /** The longest deadline, milliseconds. */
    private static final int MAX_DEADLINE = 3_600_000;

    /** The longest that answers are kept, seconds. */
    private static final int MAX_KEEP = 604_800;

    /** The largest body that may be declared, bytes. */
    private static final int MAX_BODY = 16 * 1024 * 1024;

    /** The largest body unless said otherwise, bytes. */
    private static final int DEFAULT_BODY = 1024 * 1024;

    /** How long answers are kept unless said otherwise, seconds. */
    private static final int DEFAULT_KEEP = 3600;

    /** Whether a class asks a model or a plain service. */
    public enum Kind {
        /** A model, through a prefill and a decode engine. */
        @JsonProperty("completion")
        COMPLETION,
        /** A plain service. */
        @JsonProperty("service")
        SERVICE
    }

    /** What to do with a keyed request while the table is away. */
    public enum TableOutagePolicy {
        /** Refuse it as not run. */
        @JsonProperty("refuse")
        REFUSE,
        /** Run it without a claim. */
        @JsonProperty("run")
        RUN
    }

    /** Whether the outcome is recorded before or after the end mark. */
    public enum AnswerCommit {
        /** The end mark waits for the record: exactly once. */
        @JsonProperty("before-end-mark")
        BEFORE_END_MARK,
        /** The end mark goes out at once; the record follows. */
        @JsonProperty("after-end-mark")
        AFTER_END_MARK
    }

    /** Checks the fields and fills the defaults. */
    public ClassDeclaration {
        Check.present("name", name);
        Check.present("partner", partner);
        Check.present("kind", kind);
        Check.present("serves", serves);
        Check.that("serves", !serves.isBlank(), "must not be blank");
        Check.range("firstTokenMillis", firstTokenMillis, 0, MAX_TARGET);
        Check.range("perTokenMillis", perTokenMillis, 0, MAX_TARGET);
        Check.range("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE);
        Check.that(
                "firstTokenMillis",
                firstTokenMillis <= deadlineMillis,
                "must not be later than deadlineMillis");
        whenTableUnavailable =
                whenTableUnavailable == null ? TableOutagePolicy.REFUSE : whenTableUnavailable;
        Check.that(
                "whenTableUnavailable",
                repeatable || whenTableUnavailable == TableOutagePolicy.REFUSE,
                "must be refuse for a class that is not repeatable");
        answerCommit = answerCommit == null ? AnswerCommit.BEFORE_END_MARK : answerCommit;
        keepAnswerSeconds = keepAnswerSeconds == null ? DEFAULT_KEEP : keepAnswerSeconds;
        Check.range("keepAnswerSeconds", keepAnswerSeconds, 1, MAX_KEEP);
        maxBodyBytes = maxBodyBytes == null ? DEFAULT_BODY : maxBodyBytes;
        Check.range("maxBodyBytes", maxBodyBytes, 1, MAX_BODY);
    }

    /**
     * Returns whether the class has a latency target.
     *
     * @return whether it counts towards goodput only when on time
     */
    @JsonIgnore
    public boolean hasTarget() {
        return firstTokenMillis > 0;
    }
}

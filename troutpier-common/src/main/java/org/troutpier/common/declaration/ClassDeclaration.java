package org.troutpier.common.declaration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A request class: what its requests are sent to, their latency targets and deadline, and how they
 * may be retried. Immutable and thread safe.
 *
 * @param name the class
 * @param partner the partner it belongs to
 * @param kind whether it is served by a model or by a plain service
 * @param serves the model or service that serves it
 * @param repeatable whether a request may be sent again after bytes of it may have been sent
 * @param keyed whether each request must have an {@code Idempotency-Key}
 * @param firstTokenMillis target time to the first token, milliseconds; 0 for none
 * @param perTokenMillis target time between tokens, milliseconds; 0 for none
 * @param deadlineMillis deadline from the arrival of a request, milliseconds
 * @param whenTableUnavailable how a keyed request is handled while the table is unavailable
 * @param answerCommit whether the outcome is recorded before or after the end mark
 * @param keepAnswerSeconds how long the response to a keyed request is stored, seconds
 * @param maxBodyBytes the largest request body, bytes
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

    /** Upper bound of the latency targets, milliseconds. */
    private static final int MAX_TARGET_MILLIS = 600_000;

    /** Upper bound of the deadline, milliseconds. */
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;

    /** Upper bound of the time that responses are stored, seconds. */
    private static final int MAX_KEEP_SECONDS = 604_800;

    /** Upper bound of the request body limit, bytes. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** Default limit of the request body, bytes. */
    private static final int DEFAULT_BODY_BYTES = 1024 * 1024;

    /** Default time that responses are stored, seconds. */
    private static final int DEFAULT_KEEP_SECONDS = 3600;

    /** Whether a class is served by a model or by a plain service. */
    public enum Kind {
        /** A model, through a prefill and a decode engine. */
        @JsonProperty("completion")
        COMPLETION,
        /** A plain service. */
        @JsonProperty("service")
        SERVICE
    }

    /** How a keyed request is handled while the table is unavailable. */
    public enum TableOutagePolicy {
        /** Refuse it; it is not run. */
        @JsonProperty("refuse")
        REFUSE,
        /** Run it without a claim. */
        @JsonProperty("run")
        RUN
    }

    /** Whether the outcome is recorded before or after the end mark. */
    public enum AnswerCommit {
        /**
         * The end mark is sent after the outcome is recorded, which gives exactly-once semantics.
         */
        @JsonProperty("before-end-mark")
        BEFORE_END_MARK,
        /** The end mark is sent at once, before the outcome is recorded. */
        @JsonProperty("after-end-mark")
        AFTER_END_MARK
    }

    /** Validates the fields and fills in defaults. */
    public ClassDeclaration {
        Check.present("name", name);
        Check.present("partner", partner);
        Check.present("kind", kind);
        Check.present("serves", serves);
        Check.that("serves", !serves.isBlank(), "must not be blank");
        Check.range("firstTokenMillis", firstTokenMillis, 0, MAX_TARGET_MILLIS);
        Check.range("perTokenMillis", perTokenMillis, 0, MAX_TARGET_MILLIS);
        Check.range("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
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
        keepAnswerSeconds = keepAnswerSeconds == null ? DEFAULT_KEEP_SECONDS : keepAnswerSeconds;
        Check.range("keepAnswerSeconds", keepAnswerSeconds, 1, MAX_KEEP_SECONDS);
        maxBodyBytes = maxBodyBytes == null ? DEFAULT_BODY_BYTES : maxBodyBytes;
        Check.range("maxBodyBytes", maxBodyBytes, 1, MAX_BODY_BYTES);
    }

    /**
     * Returns whether the class has a latency target.
     *
     * @return whether a request counts towards goodput only if it meets the target
     */
    @JsonIgnore
    public boolean hasTarget() {
        return firstTokenMillis > 0;
    }
}

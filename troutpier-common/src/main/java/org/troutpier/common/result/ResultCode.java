package org.troutpier.common.result;

/**
 * Every way in which a request or a command can end other than well. Each code has a number that
 * never changes its meaning, a {@link Family} that says what is known of the work, an HTTP status
 * and whether to come back. Immutable and thread safe. The table in {@code docs/RESULT_CODES.md} is
 * held against this enumeration by a test.
 */
public enum ResultCode {
    /** The body is not what the path takes. */
    MALFORMED_REQUEST(100, 400, Family.NOT_RUN, 0, "The request cannot be read."),
    /** The body is larger than the class or the router takes. */
    BODY_TOO_LARGE(101, 413, Family.NOT_RUN, 0, "The body is larger than allowed."),
    /** No token, or none that is known. */
    UNKNOWN_TOKEN(102, 401, Family.NOT_RUN, 0, "The token is missing or unknown."),
    /** The token's partner may not do this. */
    WRONG_PARTNER(103, 403, Family.NOT_RUN, 0, "The thing named belongs to another partner."),
    /** The class is not declared for the partner. */
    UNKNOWN_CLASS(104, 404, Family.NOT_RUN, 0, "The request class is not declared."),
    /** The service is not declared for the partner. */
    UNKNOWN_SERVICE(105, 404, Family.NOT_RUN, 0, "The service is not declared."),
    /** The path means nothing here. */
    UNKNOWN_PATH(106, 404, Family.NOT_RUN, 0, "The path is not served."),
    /** Headers or body took too long. */
    REQUEST_TOO_SLOW(107, 408, Family.NOT_RUN, 0, "The request was not sent in time."),
    /** The router holds as many connections as it may. */
    TOO_MANY_CONNECTIONS(108, 503, Family.NOT_RUN, 1, "The router has no connection to spare."),
    /** A class that must be keyed came without a key. */
    KEY_REQUIRED(109, 400, Family.NOT_RUN, 0, "The class needs an Idempotency-Key."),
    /** The key came before with another body. */
    KEY_REUSED(110, 422, Family.NOT_RUN, 0, "The key was used for another request."),
    /** The method is not allowed for the class. */
    METHOD_NOT_ALLOWED(111, 405, Family.NOT_RUN, 0, "The method is not allowed here."),
    /** The request line or the headers are larger than the router takes. */
    HEAD_TOO_LARGE(112, 431, Family.NOT_RUN, 0, "The request's head is larger than allowed."),
    /** No route has the host and the path. */
    NO_ROUTE(113, 404, Family.NOT_RUN, 0, "No route has this host and path."),
    /** The partner's queue is full. */
    QUEUE_FULL(120, 429, Family.NOT_RUN, 1, "The partner's queue is full."),
    /** The first token could not come in time. */
    TARGET_OUT_OF_REACH(121, 429, Family.NOT_RUN, 1, "The latency target cannot be met now."),
    /** No live upstream has the role. */
    NO_UPSTREAM(122, 503, Family.NOT_RUN, 2, "No upstream can take the request."),
    /** The router is stopping or has not yet a configuration. */
    ROUTER_NOT_READY(123, 503, Family.NOT_RUN, 1, "The router takes no new work."),
    /** The table is away and the class wants a claim. */
    TABLE_UNAVAILABLE(124, 503, Family.NOT_RUN, 5, "The table service is not available."),
    /** The deadline passed before anything was sent. */
    DEADLINE_BEFORE_START(125, 504, Family.NOT_RUN, 1, "The deadline passed before the start."),
    /** Every upstream tried proved that it had not started. */
    UPSTREAMS_REFUSED(126, 503, Family.NOT_RUN, 1, "The upstreams refused before starting."),
    /** The partner has as many requests in flight as it may. */
    PARTNER_LIMIT(
            127, 429, Family.NOT_RUN, 1, "The partner's requests in flight are at the limit."),
    /** No engine has memory for the request in time. */
    NO_PLACE(128, 503, Family.NOT_RUN, 1, "No engine has memory for the request now."),
    /** What it asks for has ended several upstreams. */
    REQUEST_QUARANTINED(
            129, 503, Family.NOT_RUN, 0, "Upstreams ended under this request; it was not run."),
    /** The organisation has used what it may use in a window of time. */
    USE_LIMIT(130, 429, Family.NOT_RUN, 1, "The organisation has used what it may for now."),
    /** Nothing has confirmed the keys for too long. */
    KEYS_UNCONFIRMED(
            131, 503, Family.NOT_RUN, 1, "The router has not heard lately which keys hold."),
    /** All upstreams that could take the request get as many as they say they take. */
    UPSTREAM_RATE(
            132, 503, Family.NOT_RUN, 1, "The upstreams get as many requests as they take now."),
    /** The same key runs elsewhere. */
    ALREADY_RUNNING(200, 409, Family.OUTCOME_UNKNOWN, 2, "The request with this key is running."),
    /** Bytes left for an upstream and nothing proves what became of them. */
    OUTCOME_UNKNOWN(201, 502, Family.OUTCOME_UNKNOWN, 0, "The upstream may have run the request."),
    /** The deadline passed while an upstream had the request. */
    DEADLINE_WHILE_RUNNING(202, 504, Family.OUTCOME_UNKNOWN, 1, "The deadline passed on the way."),
    /** The holder of a not-to-be-repeated request is gone. */
    HOLDER_GONE(203, 409, Family.OUTCOME_UNKNOWN, 0, "The router that held the request is gone."),
    /** Another holder took the request over. */
    SUPERSEDED(204, 409, Family.OUTCOME_UNKNOWN, 2, "Another router took the request over."),
    /** The outcome could not be recorded. */
    OUTCOME_NOT_RECORDED(205, 503, Family.OUTCOME_UNKNOWN, 5, "The outcome was not recorded."),
    /** An upstream ran and failed or cut its answer. */
    UPSTREAM_FAILED(300, 502, Family.RAN_AND_FAILED, 1, "An upstream failed while running."),
    /** An upstream answered for another request. */
    UPSTREAM_MISMATCH(301, 502, Family.RAN_AND_FAILED, 1, "An upstream answered another request."),
    /** The answer was given before and is not kept. */
    ANSWER_NOT_KEPT(302, 410, Family.RAN_AND_FAILED, 0, "The answer was given and is not kept."),
    /** The retry budget is spent. */
    RETRIES_SPENT(303, 502, Family.RAN_AND_FAILED, 2, "The attempt failed; no retry is left."),
    /** The caller did not read its answer. */
    CALLER_TOO_SLOW(304, 408, Family.RAN_AND_FAILED, 0, "The caller read its answer too slowly."),
    /** A declaration or a setting is wrong. */
    INVALID_DECLARATION(400, 422, Family.NOT_RUN, 0, "The declaration is not valid."),
    /** Another change came first. */
    CHANGE_CONFLICT(401, 409, Family.NOT_RUN, 1, "Another change came first."),
    /** A member cannot prepare the change. */
    MEMBER_REFUSED(402, 503, Family.NOT_RUN, 2, "A member did not prepare the change."),
    /** The commit's fate cannot be read back. */
    CHANGE_IN_DOUBT(403, 503, Family.OUTCOME_UNKNOWN, 5, "The change may have been committed."),
    /** Committed, but a member has not confirmed. */
    CHANGE_NOT_EVERYWHERE(404, 504, Family.OUTCOME_UNKNOWN, 2, "A member has not confirmed yet."),
    /** A bug in the router. */
    INTERNAL(500, 500, Family.OUTCOME_UNKNOWN, 1, "The router failed in a way of its own.");

    /** What is known of the work behind a code. */
    public enum Family {
        /** Nothing was run: no byte reached an upstream, or each proved that it did not start. */
        NOT_RUN("not-run"),
        /** The work may have been run. */
        OUTCOME_UNKNOWN("outcome-unknown"),
        /** The work was run and did not end well. */
        RAN_AND_FAILED("ran-and-failed");

        /** The family's name on the wire. */
        private final String mLabel;

        /**
         * Creates a family.
         *
         * @param label its name on the wire
         */
        Family(String label) {
            mLabel = label;
        }

        /**
         * Returns the name on the wire.
         *
         * @return the label
         */
        public String label() {
            return mLabel;
        }
    }

    /** The number that names the code for good. */
    private final int mNumber;

    /** The HTTP status that goes with it. */
    private final int mHttpStatus;

    /** What is known of the work. */
    private final Family mFamily;

    /** When to come back, in seconds; 0 where coming back does not help. */
    private final int mRetryAfterSeconds;

    /** One plain sentence for people. */
    private final String mMeaning;

    /**
     * Creates a code.
     *
     * @param number the number
     * @param httpStatus the HTTP status
     * @param family what is known of the work
     * @param retryAfterSeconds when to come back, 0 for not
     * @param meaning one sentence
     */
    ResultCode(int number, int httpStatus, Family family, int retryAfterSeconds, String meaning) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mFamily = family;
        mRetryAfterSeconds = retryAfterSeconds;
        mMeaning = meaning;
    }

    /**
     * Returns the label, such as {@code TP-201}.
     *
     * @return the label
     */
    public String label() {
        return "TP-" + mNumber;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int httpStatus() {
        return mHttpStatus;
    }

    /**
     * Returns what is known of the work.
     *
     * @return the family
     */
    public Family family() {
        return mFamily;
    }

    /**
     * Returns when to come back.
     *
     * @return seconds, or 0 where coming back does not help
     */
    public int retryAfterSeconds() {
        return mRetryAfterSeconds;
    }

    /**
     * Returns the sentence for people.
     *
     * @return the meaning
     */
    public String meaning() {
        return mMeaning;
    }
}

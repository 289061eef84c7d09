package org.troutpier.daemon.claim;

import java.util.Base64;
import org.troutpier.common.id.Incarnation;

/**
 * A claim as stored in the table. Immutable and thread safe. The names of the components and states
 * are stored. Invariant: the epoch increases with every new holder, and a row that is answered or
 * ended never changes again.
 *
 * @param state state of the request
 * @param holder router that holds the claim
 * @param holderUrl URL at which the holder accepts callers
 * @param epoch increases with every new holder
 * @param attempt id of the write that made this router the holder; allows a write to be recognised
 *     if its acknowledgement was lost
 * @param fingerprint hash of the request, so that a key cannot be reused for another one
 * @param leaseEndMillis wall-clock time after which another router may take over
 * @param expiresMillis wall-clock time after which the row may be deleted
 * @param answerInline the stored answer in Base64; null if it is not stored in the row
 * @param answerObject key of the answer in the object store; null if it is not stored there
 * @param endCode result code of a request that ended without an answer; null otherwise
 */
public record ClaimRow(
        State state,
        Incarnation holder,
        String holderUrl,
        long epoch,
        String attempt,
        String fingerprint,
        long leaseEndMillis,
        long expiresMillis,
        String answerInline,
        String answerObject,
        String endCode) {

    /** State of a claimed request. */
    public enum State {
        /** The holder is running it. */
        RUNNING,
        /** The holder released it: it was not run, or may be run again, by any router. */
        RELEASED,
        /** It was answered. */
        ANSWERED,
        /** It ended without an answer; only a repeatable request may be run again. */
        ENDED
    }

    /** Returns a copy with the claim released. */
    public ClaimRow asReleased() {
        return withState(State.RELEASED, null, null, null);
    }

    /** Returns a copy with an answer that is stored in the row. */
    public ClaimRow asAnsweredInline(byte[] answer) {
        return withState(State.ANSWERED, Base64.getEncoder().encodeToString(answer), null, null);
    }

    /**
     * Returns a copy with an answer that is stored in the object store, or not at all.
     *
     * @param object key of the object, or null if the answer is not stored
     */
    public ClaimRow asAnswered(String object) {
        return withState(State.ANSWERED, null, object, null);
    }

    /**
     * Returns a copy that ended without an answer.
     *
     * @param code name of the result code
     */
    public ClaimRow asEnded(String code) {
        return withState(State.ENDED, null, null, code);
    }

    private ClaimRow withState(State newState, String inline, String object, String code) {
        return new ClaimRow(
                newState,
                holder,
                holderUrl,
                epoch,
                attempt,
                fingerprint,
                leaseEndMillis,
                expiresMillis,
                inline,
                object,
                code);
    }
}

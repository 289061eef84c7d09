package org.troutpier.daemon.claim;

import java.util.Base64;
import org.troutpier.common.id.Incarnation;

/**
 * A claim as it stands in the table. Immutable and thread safe. Invariant: the epoch rises with
 * every new holder, and a row that is answered or ended never changes again.
 *
 * @param state how far the request is
 * @param holder the router that holds it
 * @param holderUrl where the holder takes callers
 * @param epoch rises with every new holder
 * @param attempt names the write that made this holder; settles a lost acknowledgement
 * @param fingerprint the hash of the request, so that a key cannot be used for another
 * @param leaseEndMillis when another router may take over, by the wall clock
 * @param expiresMillis when the row may be deleted, by the wall clock
 * @param answerInline the kept answer, Base64; null where there is none here
 * @param answerObject the key of the kept answer in the object store; null where there is none
 * @param endCode the result code of a request that ended otherwise, or null
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

    /** How far a claimed request is. */
    public enum State {
        /** Its holder runs it. */
        RUNNING,
        /** Its holder gave it up with proof that it was not run; anyone may run it. */
        RELEASED,
        /** It was answered. */
        ANSWERED,
        /** It ended without an answer and must not be run again. */
        ENDED
    }

    /**
     * Returns the row as given up.
     *
     * @return a new row
     */
    public ClaimRow asReleased() {
        return withState(State.RELEASED, null, null, null);
    }

    /**
     * Returns the row as answered, with the answer in it.
     *
     * @param answer the answer's bytes
     * @return a new row
     */
    public ClaimRow asAnsweredInline(byte[] answer) {
        return withState(State.ANSWERED, Base64.getEncoder().encodeToString(answer), null, null);
    }

    /**
     * Returns the row as answered, with the answer in the object store or nowhere.
     *
     * @param object the object's key, or null where the answer is not kept
     * @return a new row
     */
    public ClaimRow asAnswered(String object) {
        return withState(State.ANSWERED, null, object, null);
    }

    /**
     * Returns the row as ended without an answer.
     *
     * @param code the result code's name
     * @return a new row
     */
    public ClaimRow asEnded(String code) {
        return withState(State.ENDED, null, null, code);
    }

    /**
     * Returns the row in another state; who holds it stays.
     *
     * @param newState the state
     * @param inline the kept answer, or null
     * @param object the key of the kept answer, or null
     * @param code how it ended, or null
     * @return a new row
     */
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

package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.Organisation;

/**
 * One request as received from a caller. Immutable by convention: headers and body are not changed.
 * Thread safe.
 *
 * @param id the id that the caller gave to this attempt
 * @param method the HTTP method
 * @param target path and query, as received
 * @param host the value of the Host header
 * @param headers the end-to-end headers, which are forwarded unchanged
 * @param body the body
 * @param deadlineMillis how long the caller waits, from the arrival of the request
 * @param lastEventId the id of the last event of a stream that the caller has received, unparsed
 * @param resumedAttempt the attempt that brought the first event of that stream, if the caller says
 *     so
 * @param prompt the metadata of the prompt, for a model request
 * @param key the hash of the caller's key, if it sent a readable one
 * @param requester the caller's identity
 */
public record ServingRequest(
        RequestId id,
        String method,
        String target,
        String host,
        HttpHeaders headers,
        byte[] body,
        long deadlineMillis,
        Optional<String> lastEventId,
        Optional<RequestId> resumedAttempt,
        Optional<PromptMetadata> prompt,
        Optional<KeyHash> key,
        Requester requester) {

    /** Returns a copy with another requester. */
    ServingRequest withRequester(Requester newRequester) {
        return new ServingRequest(
                id,
                method,
                target,
                host,
                headers,
                body,
                deadlineMillis,
                lastEventId,
                resumedAttempt,
                prompt,
                key,
                newRequester);
    }

    /** Returns a copy that resumes no stream; the headers about an earlier one are kept. */
    ServingRequest withoutResumption() {
        return new ServingRequest(
                id,
                method,
                target,
                host,
                headers,
                body,
                deadlineMillis,
                Optional.empty(),
                Optional.empty(),
                prompt,
                key,
                requester);
    }

    /**
     * Returns the id of the last event that the caller has received; empty for a new stream.
     *
     * @throws TroutpierException if it is no number
     */
    OptionalLong resumeAfter() {
        try {
            return lastEventId.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(lastEventId.get().strip()));
        } catch (NumberFormatException exception) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    "last event id '" + lastEventId.get() + "' is no number",
                    exception);
        }
    }

    /** Returns whether the caller has received a part of the stream in an earlier attempt. */
    boolean isResumed() {
        return lastEventId.isPresent() || resumedAttempt.isPresent();
    }

    /**
     * Returns the organisation on whose behalf the request is made.
     *
     * @return the organisation, if there is one
     */
    public Optional<Organisation> organisation() {
        return requester.organisation();
    }

    /** Returns the most tokens that the request can take, prompt and output, if it says so. */
    OptionalLong maxTokens() {
        return prompt.map(metadata -> OptionalLong.of(metadata.maxTokens()))
                .orElseGet(OptionalLong::empty);
    }
}

package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.Organisation;

/**
 * One request as a caller sent it. Immutable by agreement: headers and body are not changed. Thread
 * safe.
 *
 * @param id the caller's name for this try of the request
 * @param method the HTTP method
 * @param target path and query, as sent
 * @param host the host asked for
 * @param headers what goes to the upstream unchanged; nothing that concerns one connection only
 * @param body the body
 * @param deadlineMillis how long the caller waits, from the arrival
 * @param lastEventId the last event that the caller has seen of a stream, if it says so
 * @param prompt what is known of the prompt, for a model request
 * @param key the caller's key, if it sent one that can be read
 * @param requester who asks
 */
public record ServingRequest(
        RequestId id,
        String method,
        String target,
        String host,
        HttpHeaders headers,
        byte[] body,
        long deadlineMillis,
        OptionalLong lastEventId,
        Optional<PromptMetadata> prompt,
        Optional<KeyHash> key,
        Requester requester) {

    /**
     * Returns the request in the name of whoever asks.
     *
     * @param asker who asks
     * @return a new request
     */
    ServingRequest withRequester(Requester asker) {
        return new ServingRequest(
                id,
                method,
                target,
                host,
                headers,
                body,
                deadlineMillis,
                lastEventId,
                prompt,
                key,
                asker);
    }

    /**
     * Returns in whose name the request is made.
     *
     * @return the organisation, if it has one
     */
    public Optional<Organisation> organisation() {
        return requester.organisation();
    }

    /**
     * Returns how many tokens the request takes at most.
     *
     * @return the prompt's and the output's, if the request says so
     */
    OptionalLong maxTokens() {
        return prompt.map(shape -> OptionalLong.of(shape.maxTokens()))
                .orElseGet(OptionalLong::empty);
    }
}

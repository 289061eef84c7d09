package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Optional;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.organisation.Requester;

/** Requests for tests. */
final class TestRequests {

    private TestRequests() {}

    /** Returns a first try of an unchecked caller. */
    static ServingRequest of(
            String id, String target, byte[] body, Optional<PromptMetadata> prompt) {
        return new ServingRequest(
                new RequestId(id),
                "POST",
                target,
                "h",
                new DefaultHttpHeaders(),
                body,
                9000,
                Optional.empty(),
                Optional.empty(),
                prompt,
                Optional.empty(),
                new Requester.Unchecked());
    }

    /** Returns a try that takes a stream up after an event. */
    static ServingRequest resumed(String id, RequestId begun, String lastEvent) {
        PromptMetadata prompt =
                new PromptMetadata("m", 1000, 500, List.of(new PromptMetadata.Part("own", 1000)));
        return new ServingRequest(
                new RequestId(id),
                "POST",
                "/x",
                "h",
                new DefaultHttpHeaders(),
                new byte[0],
                9000,
                Optional.of(lastEvent),
                Optional.of(begun),
                Optional.of(prompt),
                Optional.empty(),
                new Requester.Unchecked());
    }
}

package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
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
}

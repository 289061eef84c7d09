package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;

/** Streams for tests. */
final class TestStreams {

    /** The length of each prompt. */
    static final int TOKENS = 1000;

    private static final int TARGET_MILLIS = 400;

    private TestStreams() {}

    /** Starts a stream that differs from all others by its name. */
    static FakeCaller start(ServingContext context, String service, String name) {
        PromptMetadata.Part own = new PromptMetadata.Part(name, TOKENS);
        PromptMetadata prompt = new PromptMetadata("m", TOKENS, 50, List.of(own));
        ServingRequest request =
                TestRequests.of(name, "/" + name, new byte[0], Optional.of(prompt));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.STREAM,
                        5000,
                        TARGET_MILLIS,
                        300,
                        1,
                        1,
                        List.of(new Route.WeightedService(service, 1)),
                        false);
        FakeCaller caller = new FakeCaller();
        EngineTraits traits = new EngineTraits(10, 90_000, 4, 2000, 500, 100);
        new StreamExecution(context, request, route, service, Optional.of(traits), caller).begin();
        return caller;
    }
}

package org.troutpier.daemon.resume;

import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/** Decides at which upstreams streams may begin that callers may resume. Stateless. */
public final class NewStreams {

    private NewStreams() {}

    /**
     * Returns the upstreams at which a stream may begin: those of stored versions, since a version
     * that no row names is unknown after the loss of all routers; all of them if there is no such
     * upstream, since the service would be refused otherwise.
     *
     * @param upstreams the usable upstreams
     * @param origin returns what a stream is bound to that begins at an upstream
     * @param stored whether a version is stored
     */
    public static <T> List<T> select(
            List<T> upstreams, Function<T, StreamOrigin> origin, Predicate<StreamOrigin> stored) {
        List<T> known = upstreams.stream().filter(each -> stored.test(origin.apply(each))).toList();
        return known.isEmpty() ? upstreams : known;
    }
}

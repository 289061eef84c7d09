package org.troutpier.daemon.route;

import java.util.List;
import org.troutpier.common.settings.Check;

/**
 * One route: which requests it takes and what may be done with them. Immutable and thread safe.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case
 * @param pathPrefix the start of the paths it takes; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis how long a request may be held
 * @param targetMillis within which time an answer, or a stream's first event, is due
 * @param eventGapMillis the longest pause between events that is still in time; 0 for none set
 * @param priority the rank, 0 is the most urgent
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param services where requests go, by weight; not empty
 * @param open whether it asks for no key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        int timeoutMillis,
        int targetMillis,
        int eventGapMillis,
        int priority,
        int maxAttempts,
        List<WeightedService> services,
        boolean open) {

    /** What may be repeated on a route. */
    public enum Kind {
        /** A request may run more than once. */
        REPEATABLE,
        /** A request runs at most once. */
        ONCE,
        /** A stream that runs at most once. */
        STREAM,
        /** A stream that may be continued by another run from its last event. */
        RESUMABLE_STREAM;

        /**
         * Returns whether the answer is a stream of events.
         *
         * @return whether it is
         */
        public boolean isStreaming() {
            return this == STREAM || this == RESUMABLE_STREAM;
        }

        /**
         * Returns whether a request may run a second time.
         *
         * @return whether it may
         */
        public boolean repeatable() {
            return this == REPEATABLE || this == RESUMABLE_STREAM;
        }
    }

    /** Checks the fields and copies the services. */
    public Route {
        Check.present("name", name);
        Check.present("host", host);
        Check.that(
                "pathPrefix",
                pathPrefix != null && pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "must begin and end with a slash but is " + pathPrefix);
        Check.range("timeoutMillis", timeoutMillis, 1, Integer.MAX_VALUE);
        Check.range("maxAttempts", maxAttempts, 1, Integer.MAX_VALUE);
        Check.that("services", services != null && !services.isEmpty(), "must not be empty");
        services = List.copyOf(services);
    }

    /**
     * Chooses a service by weight.
     *
     * @param random a number from 0 to below 1
     * @return the service's name
     */
    public String selectService(double random) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = random * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /**
     * A service and its share of a route's requests. Immutable and thread safe.
     *
     * @param service the service's name
     * @param weight its share, relative to the others
     */
    public record WeightedService(String service, double weight) {

        /** Checks the fields. */
        public WeightedService {
            Check.present("service", service);
            Check.that("weight", weight >= 0, "must not be negative but is " + weight);
        }
    }
}

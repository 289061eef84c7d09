package org.troutpier.daemon.route;

import java.util.List;
import org.troutpier.common.settings.Check;

/**
 * A route: which requests it matches, and how they are executed. Immutable and thread safe.
 *
 * @param name the route's name
 * @param host the host name, in lower case
 * @param pathPrefix the prefix of matching paths; starts and ends with a slash
 * @param kind how its requests may be repeated
 * @param timeoutMillis time limit of a request
 * @param targetMillis target latency of an answer, or of the first event of a stream
 * @param eventGapMillis maximum gap between events that still counts as on time; 0 if not set
 * @param priority the priority; 0 is the most urgent
 * @param maxAttempts maximum number of upstreams that a request is sent to
 * @param services the target services with their weights; not empty
 * @param open whether requests need no API key
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

    /** How requests on a route may be repeated. */
    public enum Kind {
        /** A request may run more than once. */
        REPEATABLE,
        /** A request runs at most once. */
        ONCE,
        /** A stream that runs at most once. */
        STREAM,
        /** A stream that another run may resume after its last event. */
        RESUMABLE_STREAM;

        /** Returns whether the answer is a stream of events. */
        public boolean isStreaming() {
            return this == STREAM || this == RESUMABLE_STREAM;
        }

        /** Returns whether a request may run more than once. */
        public boolean repeatable() {
            return this == REPEATABLE || this == RESUMABLE_STREAM;
        }
    }

    /** Validates the components and copies the services. */
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
     * Selects a service by weight.
     *
     * @param random a random number, at least 0 and less than 1
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
     * A service with its share of a route's requests. Immutable and thread safe.
     *
     * @param service the service's name
     * @param weight its share, relative to the other weights of the route
     */
    public record WeightedService(String service, double weight) {

        /** Validates the components. */
        public WeightedService {
            Check.present("service", service);
            Check.that("weight", weight >= 0, "must not be negative but is " + weight);
        }
    }
}

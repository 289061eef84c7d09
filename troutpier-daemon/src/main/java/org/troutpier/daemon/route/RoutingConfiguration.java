package org.troutpier.daemon.route;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.settings.Check;

/**
 * One version of all routes, services and callers' limits. Immutable and thread safe. Invariant:
 * the routes of a host are kept with the longest prefix first, so the first match is the route.
 */
public final class RoutingConfiguration {

    /** The version; a later one is higher. */
    private final long mVersion;

    /** The routes of each host, the longest prefix first. */
    private final Map<String, List<Route>> mRoutes;

    /** The services by name. */
    private final Map<String, Service> mServices;

    /** What callers are held to. */
    private final ServerLimits mLimits;

    /** The configuration as the operator wrote it. */
    private final byte[] mEncoded;

    /**
     * Creates a version.
     *
     * @param version the version
     * @param routes all routes
     * @param services all services
     * @param limits what callers are held to
     * @param encoded the configuration as the operator wrote it, for other routers
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<Service> services,
            ServerLimits limits,
            byte[] encoded) {
        mVersion = version;
        mEncoded = encoded.clone();
        mLimits = Check.present("limits", limits);
        mServices =
                services.stream()
                        .collect(Collectors.toUnmodifiableMap(Service::name, Function.identity()));
        Comparator<Route> longestFirst =
                Comparator.<Route>comparingInt(route -> route.pathPrefix().length()).reversed();
        mRoutes = routes.stream().sorted(longestFirst).collect(Collectors.groupingBy(Route::host));
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns what callers are held to.
     *
     * @return the limits
     */
    public ServerLimits limits() {
        return mLimits;
    }

    /**
     * Returns the configuration as the operator wrote it.
     *
     * @return a copy of the bytes
     */
    public byte[] encoded() {
        return mEncoded.clone();
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host as the caller sent it, with or without a port
     * @param path the path, without the query
     * @return the route with the longest prefix, or empty for none
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return mRoutes.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty for none
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the services by name.
     *
     * @return all services
     */
    public Map<String, Service> services() {
        return mServices;
    }
}

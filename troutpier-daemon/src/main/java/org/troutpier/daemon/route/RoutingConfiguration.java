package org.troutpier.daemon.route;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.Check;

/**
 * One version of all routes, services, organisations and limits of callers. Immutable and thread
 * safe. Invariant: the routes of a host are sorted by descending length of their prefixes, so that
 * the first match is the most specific.
 */
public final class RoutingConfiguration {

    private final long mVersion;

    /** The routes of each host, longest prefix first. */
    private final Map<String, List<Route>> mRoutes;

    private final Map<String, Service> mServices;

    private final Map<PartnerId, Organisation> mOrganisations;

    private final Map<KeyHash, Organisation> mKeys;

    private final ServerLimits mLimits;

    private final byte[] mEncoded;

    /**
     * Creates a version. Fails with {@link ResultCode#INVALID_DECLARATION} if two organisations
     * share a name or a key.
     *
     * @param version the version, which increases with each change
     * @param routes all routes
     * @param services all services
     * @param organisations all organisations; empty if requests need no API key
     * @param limits the limits of callers
     * @param encoded the configuration as the operator wrote it, for other routers; contains hashes
     *     of the callers' keys, but no keys
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<Service> services,
            List<Organisation> organisations,
            ServerLimits limits,
            byte[] encoded) {
        mVersion = version;
        mEncoded = encoded.clone();
        mLimits = Check.present("limits", limits);
        mServices =
                services.stream()
                        .collect(Collectors.toUnmodifiableMap(Service::name, Function.identity()));
        mOrganisations = new LinkedHashMap<>();
        mKeys = new HashMap<>();
        organisations.forEach(this::add);
        Comparator<Route> longestFirst =
                Comparator.<Route>comparingInt(route -> route.pathPrefix().length()).reversed();
        mRoutes = routes.stream().sorted(longestFirst).collect(Collectors.groupingBy(Route::host));
    }

    private void add(Organisation organisation) {
        if (mOrganisations.put(organisation.id(), organisation) != null) {
            throw invalid("two organisations are named " + organisation.id());
        }
        for (KeyHash key : organisation.keys()) {
            Organisation other = mKeys.put(key, organisation);
            if (other != null) {
                throw invalid(key + " is of " + other.id() + " and of " + organisation.id());
            }
        }
    }

    private static TroutpierException invalid(String detail) {
        return new TroutpierException(ResultCode.INVALID_DECLARATION, detail);
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits of callers. */
    public ServerLimits limits() {
        return mLimits;
    }

    /**
     * Returns a copy of the configuration as the operator wrote it, with hashes of the callers'
     * keys.
     */
    public byte[] encoded() {
        return mEncoded.clone();
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host as the caller sent it, with or without a port
     * @param path the path without the query
     * @return the matching route with the longest prefix; empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return mRoutes.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @return the service; empty if it does not exist
     */
    public Optional<Service> findService(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all services by name. */
    public Map<String, Service> services() {
        return mServices;
    }

    /** Returns the longest time limit of a route, milliseconds. */
    public long longestTimeoutMillis() {
        return mRoutes.values().stream()
                .flatMap(List::stream)
                .mapToLong(Route::timeoutMillis)
                .max()
                .orElse(0);
    }

    /** Returns whether requests need an API key, except on open routes. */
    public boolean requiresKeys() {
        return !mOrganisations.isEmpty();
    }

    /**
     * Finds the organisation that a key belongs to.
     *
     * @return the organisation; empty if the key is unknown
     */
    public Optional<Organisation> findOrganisation(KeyHash key) {
        return Optional.ofNullable(mKeys.get(key));
    }

    /** Returns all organisations by name, in the operator's order. */
    public Map<PartnerId, Organisation> organisations() {
        return Collections.unmodifiableMap(mOrganisations);
    }
}

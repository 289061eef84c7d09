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
 * One version of all routes, services, organisations and callers' limits. Immutable and thread
 * safe. Invariant: the routes of a host are kept with the longest prefix first, so the first match
 * is the route.
 */
public final class RoutingConfiguration {

    /** The version; a later one is higher. */
    private final long mVersion;

    /** The routes of each host, the longest prefix first. */
    private final Map<String, List<Route>> mRoutes;

    /** The services by name. */
    private final Map<String, Service> mServices;

    /** The organisations by name. */
    private final Map<PartnerId, Organisation> mOrganisations;

    /** Whose each key is. */
    private final Map<KeyHash, Organisation> mKeys;

    /** What callers are held to. */
    private final ServerLimits mLimits;

    /** The configuration as the operator wrote it, without callers' keys. */
    private final byte[] mEncoded;

    /**
     * Creates a version. It fails with {@link ResultCode#INVALID_DECLARATION} where two
     * organisations have one name or one key.
     *
     * @param version the version
     * @param routes all routes
     * @param services all services
     * @param organisations all organisations; empty where requests need no key
     * @param limits what callers are held to
     * @param encoded the configuration as the operator wrote it, for other routers; it holds no
     *     callers' keys, only their hashes
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

    /**
     * Adds an organisation.
     *
     * @param organisation the organisation
     */
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

    /**
     * Makes the failure of a version that contradicts itself.
     *
     * @param detail what is wrong
     * @return the failure
     */
    private static TroutpierException invalid(String detail) {
        return new TroutpierException(ResultCode.INVALID_DECLARATION, detail);
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
     * Returns the configuration as the operator wrote it, with hashes in place of callers' keys.
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
     * @param name its name
     * @return the service, or empty for none
     */
    public Optional<Service> findService(String name) {
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

    /**
     * Returns whether requests need a key, unless their route is open.
     *
     * @return whether there is any organisation
     */
    public boolean requiresKeys() {
        return !mOrganisations.isEmpty();
    }

    /**
     * Finds who has a key.
     *
     * @param key the key
     * @return the organisation, or empty for a key that is not known
     */
    public Optional<Organisation> findOrganisation(KeyHash key) {
        return Optional.ofNullable(mKeys.get(key));
    }

    /**
     * Returns the organisations by name.
     *
     * @return all organisations, in the operator's order
     */
    public Map<PartnerId, Organisation> organisations() {
        return Collections.unmodifiableMap(mOrganisations);
    }
}

package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.organisation.KeyTrust;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.Service;

/**
 * Finds the route of each request and has it served. Confined to the traffic loop. Invariant: a
 * request is served by the version in force when it came.
 */
public final class RequestRouter {

    /** How long until a router that starts has a configuration, milliseconds, roughly. */
    private static final long STARTUP_RETRY_MILLIS = 500;

    /** How many milliseconds a second has. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** Whether keys count. */
    private final KeyTrust mKeys;

    /** The collaborators of executions. */
    private final ServingContext mContext;

    /**
     * Creates a router.
     *
     * @param configuration the version in force
     * @param keys whether keys count
     * @param context the collaborators of executions
     */
    public RequestRouter(
            CurrentConfiguration configuration, KeyTrust keys, ServingContext context) {
        mConfiguration = configuration;
        mKeys = keys;
        mContext = context;
    }

    /**
     * Serves a request.
     *
     * @param request the request
     * @param caller the way to answer
     */
    public void serve(ServingRequest request, CallerChannel caller) {
        Optional<RoutingConfiguration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            refuse(request, caller, ResultCode.ROUTER_NOT_READY, STARTUP_RETRY_MILLIS);
            return;
        }
        Optional<Route> route =
                configuration.get().findRoute(request.host(), path(request.target()));
        if (route.isEmpty()) {
            refuse(request, caller, ResultCode.NO_ROUTE, 0);
            return;
        }
        Optional<Requester> requester =
                Requester.authenticate(configuration.get(), route.get(), request.key());
        Optional<TroutpierException> stranger = authenticationFailure(requester);
        if (stranger.isPresent()) {
            ResultCode code = stranger.get().code();
            refuse(request, caller, code, code.retryAfterSeconds() * MILLIS_PER_SECOND);
            return;
        }
        mContext.organisationLimiter().applyConfiguration(configuration.get());
        String name = route.get().selectService(mContext.random().nextDouble());
        Optional<Service> service = configuration.get().findService(name);
        RequestExecution execution =
                execution(
                        request.withRequester(requester.orElseThrow()),
                        route.get(),
                        name,
                        service,
                        caller);
        execution.trace().addInput("configuration", configuration.get().version());
        execution.begin();
    }

    /**
     * Authenticates a caller by the request's head, before its body has come.
     *
     * @param host the host as the caller sent it
     * @param target path and query
     * @param key the caller's key, if it sent one that can be read
     * @return why the request is refused, or empty to wait for its body
     */
    public Optional<TroutpierException> authenticate(
            String host, String target, Optional<KeyHash> key) {
        Optional<RoutingConfiguration> configuration = mConfiguration.current();
        Optional<TroutpierException> stranger =
                configuration
                        .flatMap(each -> each.findRoute(host, path(target)))
                        .map(route -> Requester.authenticate(configuration.get(), route, key))
                        .flatMap(this::authenticationFailure);
        stranger.ifPresent(why -> mContext.metrics().countOutcome(why.code().label()));
        return stranger;
    }

    /**
     * Returns why a caller is rejected.
     *
     * @param requester who asks; empty where a key is needed and is missing or not known
     * @return the refusal, or empty where the caller is admitted
     */
    private Optional<TroutpierException> authenticationFailure(Optional<Requester> requester) {
        boolean keyless = requester.isPresent() && requester.get().organisation().isEmpty();
        if (keyless) {
            return Optional.empty();
        }
        if (!mKeys.acceptsKeys()) {
            return refusal(ResultCode.KEYS_UNCONFIRMED);
        }
        return requester.isEmpty() ? refusal(ResultCode.UNKNOWN_TOKEN) : Optional.empty();
    }

    /**
     * Makes a refusal that says nothing but its code's meaning.
     *
     * @param code the code
     * @return the refusal
     */
    private static Optional<TroutpierException> refusal(ResultCode code) {
        return Optional.of(new TroutpierException(code, code.meaning()));
    }

    /**
     * Makes the execution that fits the service.
     *
     * @param request the request
     * @param route its route
     * @param name the service's name
     * @param service the service, if it is configured
     * @param caller the way to answer
     * @return the execution
     */
    private RequestExecution execution(
            ServingRequest request,
            Route route,
            String name,
            Optional<Service> service,
            CallerChannel caller) {
        boolean engine = service.flatMap(Service::engine).isPresent();
        if (engine && route.kind().isStreaming()) {
            return new StreamExecution(
                    mContext, request, route, name, service.get().engine().get(), caller);
        }
        return new PlainExecution(mContext, request, route, name, caller);
    }

    /**
     * Refuses a request that has no route.
     *
     * @param request the request
     * @param caller the way to answer
     * @param code why
     * @param retryAfterMillis when to come back, milliseconds
     */
    private void refuse(
            ServingRequest request, CallerChannel caller, ResultCode code, long retryAfterMillis) {
        RequestTrace trace = new RequestTrace(request.id().value(), "none", mContext.loop());
        trace.addStep(request.host() + request.target());
        caller.refuse(code, code.meaning(), retryAfterMillis);
        mContext.metrics().countOutcome(code.label());
        mContext.decisionLog().requestEnded(trace, code.label());
    }

    /**
     * Returns a target's path.
     *
     * @param target path and query
     * @return the path
     */
    private static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}

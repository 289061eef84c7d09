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
 * Finds the route of each request and starts its execution. Confined to the traffic loop.
 * Invariants: a request is served by the configuration that was current when it arrived; one that
 * is expected to outlast the stop of the router is refused at once.
 */
public final class RequestRouter {

    /**
     * When callers retry that reach a router before it has a configuration, milliseconds: roughly
     * the time in which a starting router gets one.
     */
    private static final long STARTUP_RETRY_MILLIS = 500;

    /**
     * When callers retry that reach a router that stops, milliseconds: at once, since their next
     * connection leads to another router.
     */
    private static final long STOP_RETRY_MILLIS = 1;

    private static final long MILLIS_PER_SECOND = 1000;

    private final CurrentConfiguration mConfiguration;

    private final KeyTrust mKeys;

    private final ServingContext mContext;

    /** Creates a router. */
    public RequestRouter(
            CurrentConfiguration configuration, KeyTrust keys, ServingContext context) {
        mConfiguration = configuration;
        mKeys = keys;
        mContext = context;
    }

    /** Serves a request. */
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
        Optional<TroutpierException> failure = authenticationFailure(requester);
        if (failure.isPresent()) {
            ResultCode code = failure.get().code();
            refuse(request, caller, code, code.retryAfterSeconds() * MILLIS_PER_SECOND);
            return;
        }
        mContext.organisationLimiter().applyConfiguration(configuration.get());
        ServingRequest served = request.withRequester(requester.orElseThrow());
        if (route.get().kind() != Route.Kind.RESUMABLE_STREAM) {
            served = served.withoutResumption();
        } else {
            // fails for a malformed id before anything is started
            served.resumeAfter();
        }
        long limitMillis = RequestExecution.limitMillis(route.get(), served);
        if (!mContext.stopDeadline().isReachable(route.get(), limitMillis)) {
            refuse(request, caller, ResultCode.ROUTER_NOT_READY, STOP_RETRY_MILLIS);
            return;
        }
        String name = route.get().selectService(selector(served, route.get()));
        Optional<Service> service = configuration.get().findService(name);
        RequestExecution execution = execution(served, route.get(), name, service, caller);
        execution.trace().addInput("configuration", configuration.get().version());
        execution.begin();
    }

    /**
     * Returns the number that selects a request's service: all tries of a resumable stream yield
     * the same one at all routers, so that they select the service that began the stream.
     */
    private double selector(ServingRequest request, Route route) {
        return route.kind() == Route.Kind.RESUMABLE_STREAM
                ? request.resumedAttempt().orElse(request.id()).fraction()
                : mContext.random().nextDouble();
    }

    /**
     * Authenticates a caller by the head of its request, before the body has arrived.
     *
     * @param host the value of the Host header
     * @param target path and query
     * @param key the hash of the caller's key, if it sent a readable one
     * @return why the request is refused; empty if its body may be received
     */
    public Optional<TroutpierException> authenticate(
            String host, String target, Optional<KeyHash> key) {
        Optional<RoutingConfiguration> configuration = mConfiguration.current();
        Optional<TroutpierException> failure =
                configuration
                        .flatMap(each -> each.findRoute(host, path(target)))
                        .map(route -> Requester.authenticate(configuration.get(), route, key))
                        .flatMap(this::authenticationFailure);
        failure.ifPresent(refused -> mContext.metrics().countOutcome(refused.code().label()));
        return failure;
    }

    /**
     * Returns why a caller is refused.
     *
     * @param requester the caller; empty if the route requires a key and it is missing or unknown
     * @return the refusal; empty if the caller is admitted
     */
    private Optional<TroutpierException> authenticationFailure(Optional<Requester> requester) {
        boolean anonymous = requester.isPresent() && requester.get().organisation().isEmpty();
        if (anonymous) {
            return Optional.empty();
        }
        if (!mKeys.acceptsKeys()) {
            return refusal(ResultCode.KEYS_UNCONFIRMED);
        }
        return requester.isEmpty() ? refusal(ResultCode.UNKNOWN_TOKEN) : Optional.empty();
    }

    private static Optional<TroutpierException> refusal(ResultCode code) {
        return Optional.of(new TroutpierException(code, code.meaning()));
    }

    /**
     * Creates the execution that fits the route.
     *
     * @param service the service, if it is configured
     */
    private RequestExecution execution(
            ServingRequest request,
            Route route,
            String name,
            Optional<Service> service,
            CallerChannel caller) {
        return route.kind().isStreaming()
                ? new StreamExecution(
                        mContext, request, route, name, service.flatMap(Service::engine), caller)
                : new PlainExecution(mContext, request, route, name, caller);
    }

    /** Refuses a request for which no execution was created. */
    private void refuse(
            ServingRequest request, CallerChannel caller, ResultCode code, long retryAfterMillis) {
        RequestTrace trace = new RequestTrace(request.id().value(), "none", mContext.loop());
        trace.addStep(request.host() + request.target());
        caller.refuse(code, code.meaning(), retryAfterMillis);
        mContext.metrics().countOutcome(code.label());
        mContext.decisionLog().requestEnded(trace, code.label());
    }

    private static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}

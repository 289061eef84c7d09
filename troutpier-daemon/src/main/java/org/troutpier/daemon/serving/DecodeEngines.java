package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.route.Route;

/**
 * The decode engines at which a stream may run: those of its service and, once an event of the
 * stream was relayed, of the software version that wrote the first one. Confined to the traffic
 * loop. Invariant: the origin never changes once it is known.
 */
final class DecodeEngines {

    private final StreamExecution mExecution;

    /** What began the stream; empty before the first event of a new stream. */
    private Optional<StreamOrigin> mOrigin = Optional.empty();

    DecodeEngines(StreamExecution execution) {
        mExecution = execution;
    }

    /**
     * Finds out what began the stream that a caller resumes, and binds the stream to it.
     *
     * @param next receives whether that is known; not called if the request is finished by then
     */
    void resolveOrigin(Consumer<Boolean> next) {
        ServingContext context = mExecution.mContext;
        Consumer<StreamOrigins.Resolution> listener =
                found -> {
                    if (!mExecution.isEnded()) {
                        String origin =
                                found.origin().map(StreamOrigin::toString).orElse("unknown");
                        mExecution
                                .trace()
                                .addStep("origin " + origin + " " + found.source().label());
                        mOrigin = found.origin();
                        next.accept(mOrigin.isPresent());
                    }
                };
        context.origins()
                .resolve(
                        mExecution.mRequest.resumedAttempt(),
                        mExecution.mService,
                        found -> context.loop().execute(() -> listener.accept(found)));
    }

    /**
     * Binds the stream to the engine that wrote the first event of this answer, unless it is bound
     * already, and records that before the caller can have the event.
     */
    void bindTo(UpstreamEntry engine) {
        if (mOrigin.isEmpty()) {
            mOrigin = Optional.of(new StreamOrigin(engine.service(), engine.version()));
        }
        if (mExecution.mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            mExecution.mContext.origins().record(mExecution.mRequest.id(), mOrigin.get());
        }
    }

    /** Returns whether the stream may run at an engine. */
    boolean allows(UpstreamEntry engine) {
        return mOrigin.map(new StreamOrigin(engine.service(), engine.version())::equals)
                .orElse(true);
    }

    /** Returns the usable engines, whether the request was sent there or not. */
    List<UpstreamEntry> all() {
        return mExecution.upstreams(UpstreamEntry.Role.DECODE).stream()
                .filter(this::allows)
                .toList();
    }

    /**
     * Returns whether an engine at which memory was reserved still takes the run: the prefill can
     * take longer than the time for which a leaving upstream accepts new requests.
     */
    boolean stillTakesRun(UpstreamEntry engine) {
        ServingContext context = mExecution.mContext;
        return context.directory()
                .usable(engine)
                .filter(listed -> listed.role() == UpstreamEntry.Role.DECODE)
                .filter(this::allows)
                .filter(context.admission()::stillAdmits)
                .isPresent();
    }

    /** Returns whether there are usable engines at which the stream may not run. */
    boolean isRestricted() {
        return !mExecution.upstreams(UpstreamEntry.Role.DECODE).stream().allMatch(this::allows);
    }

    /**
     * Returns the engines at which memory may be reserved now; none while the prefill engines could
     * not process the prompt in time.
     */
    List<UpstreamEntry> eligible(StreamTiming timing) {
        return timing.waitBudget().allowsPrefill(timing.prediction()) ? untried() : List.of();
    }

    /** Returns the engines to which the request may still be sent. */
    List<UpstreamEntry> untried() {
        Set<UpstreamIncarnation> excluded = mExecution.excludedUpstreams();
        return all().stream().filter(entry -> !excluded.contains(entry.incarnation())).toList();
    }

    /**
     * Determines when a refused caller should retry.
     *
     * @param forecast when there is room for the request
     * @return the delay in milliseconds
     */
    long retryDelayMillis(EngineMemoryForecast forecast) {
        ServingContext context = mExecution.mContext;
        long limit = (long) (mExecution.remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
        long backOff = context.admission().backOffMillis(untried());
        return backOff
                + forecast.retryDelayMillis(mExecution.upstreams(UpstreamEntry.Role.DECODE), limit);
    }

    /** Returns why the request cannot be sent to any engine, if it cannot. */
    Optional<Obstacle> obstacle() {
        if (!untried().isEmpty()) {
            return Optional.empty();
        }
        boolean gone =
                all().isEmpty() && !mExecution.upstreams(UpstreamEntry.Role.DECODE).isEmpty();
        return Optional.of(
                gone
                        ? new Obstacle(ResultCode.VERSION_GONE, "no engine of " + mOrigin.get())
                        : new Obstacle(ResultCode.NO_PLACE, "no engine is left"));
    }

    /**
     * Why a request cannot be sent to any engine. Immutable and thread safe.
     *
     * @param code the result code of the refusal
     */
    record Obstacle(ResultCode code, String detail) {}
}

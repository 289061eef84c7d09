package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.resume.NewStreams;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.route.Route;

/**
 * The upstreams at which a stream may run: those of its service and, once an event of the stream
 * was relayed, of the software version that wrote the first one. Confined to the traffic loop.
 * Invariant: the origin never changes once it is known.
 */
final class StreamUpstreams {

    private final StreamExecution mExecution;

    /** The role of the upstreams that write events. */
    private final UpstreamEntry.Role mRole;

    /** What began the stream; empty before the first event of a new stream. */
    private Optional<StreamOrigin> mOrigin = Optional.empty();

    /**
     * Creates an instance for a stream without an origin.
     *
     * @param role the role of the upstreams that write events
     */
    StreamUpstreams(StreamExecution execution, UpstreamEntry.Role role) {
        mExecution = execution;
        mRole = role;
    }

    /**
     * Finds out what began the stream that a caller resumes, and binds the stream to it.
     *
     * @param next receives what is known; not called if the request is finished by then
     */
    void resolveOrigin(Consumer<StreamOrigins.Resolution> next) {
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
                        next.accept(found);
                    }
                };
        context.origins()
                .resolve(
                        mExecution.mRequest.resumedAttempt(),
                        mExecution.mService,
                        found -> context.loop().execute(() -> listener.accept(found)));
    }

    /**
     * Returns when to retry a stream whose origin is unknown: after the longest delay that callers
     * accept if the origin will not become known.
     */
    long retryDelayMillis(StreamOrigins.Resolution unknown) {
        return unknown.conclusive()
                ? (long) (mExecution.remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO)
                : ServingSettings.RETRY_AFTER_MILLIS;
    }

    /**
     * Binds the stream to the upstream that wrote the first event of this answer, unless it is
     * bound already, and records that before the caller can have the event.
     */
    void bindTo(UpstreamEntry upstream) {
        if (mOrigin.isEmpty()) {
            mOrigin = Optional.of(originAt(upstream));
        }
        if (mExecution.mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            mExecution.mContext.origins().record(mExecution.mRequest.id(), mOrigin.get());
        }
    }

    /** Returns whether the stream may run at an upstream. */
    boolean allows(UpstreamEntry upstream) {
        return mOrigin.map(originAt(upstream)::equals).orElse(true);
    }

    /** Returns the usable upstreams, whether the request was sent there or not. */
    List<UpstreamEntry> all() {
        List<UpstreamEntry> allowed =
                mExecution.upstreams(mRole).stream().filter(this::allows).toList();
        boolean resumableLater =
                mOrigin.isEmpty() && mExecution.mRoute.kind() == Route.Kind.RESUMABLE_STREAM;
        return resumableLater
                ? NewStreams.select(
                        allowed,
                        StreamUpstreams::originAt,
                        mExecution.mContext.origins()::isVersionStored)
                : allowed;
    }

    /** Returns what a stream is bound to whose first event an upstream writes. */
    private static StreamOrigin originAt(UpstreamEntry upstream) {
        return new StreamOrigin(upstream.service(), upstream.version());
    }

    /**
     * Returns whether an engine at which memory was reserved still takes the run: the prefill can
     * take longer than the time for which a leaving upstream accepts new requests.
     */
    boolean stillTakesRun(UpstreamEntry engine) {
        ServingContext context = mExecution.mContext;
        return context.directory()
                .usable(engine)
                .filter(listed -> listed.role() == mRole)
                .filter(this::allows)
                .filter(context.admission()::stillAdmits)
                .isPresent();
    }

    /** Returns whether there are usable upstreams at which the stream may not run. */
    boolean isRestricted() {
        return !mExecution.upstreams(mRole).stream().allMatch(this::allows);
    }

    /** Returns the upstreams to which the request may still be sent. */
    List<UpstreamEntry> untried() {
        Set<UpstreamIncarnation> excluded = mExecution.excludedUpstreams();
        return all().stream().filter(entry -> !excluded.contains(entry.incarnation())).toList();
    }

    /**
     * Returns why the request cannot be sent to any upstream, if it cannot.
     *
     * @param none the code that says that no upstream is left
     */
    Optional<Obstacle> obstacle(ResultCode none) {
        if (!untried().isEmpty()) {
            return Optional.empty();
        }
        boolean gone = all().isEmpty() && !mExecution.upstreams(mRole).isEmpty();
        return Optional.of(
                gone
                        ? new Obstacle(ResultCode.VERSION_GONE, "no upstream of " + mOrigin.get())
                        : new Obstacle(none, "no upstream of " + mExecution.mService + " is left"));
    }

    /**
     * Why a request cannot be sent to any upstream. Immutable and thread safe.
     *
     * @param code the result code of the refusal
     */
    record Obstacle(ResultCode code, String detail) {}
}

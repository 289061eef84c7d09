package org.troutpier.daemon.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ConnectTimeoutException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.peer.ForwardOutcome;
import org.troutpier.daemon.peer.ForwardingHandler;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.serving.TrafficLoop;

/**
 * Decides for each upstream whether this router connects to it directly or through another router.
 * A failed direct connection does not show whether the upstream or the path is at fault, so another
 * router is asked to open one: if it succeeds, the path is lost and not the upstream, and
 * connections are forwarded until a direct one succeeds. Confined to the traffic loop, except
 * {@link #isReachable}, {@link #reachesMost} and {@link #forwardedCount}, which are thread safe.
 * Invariant: an upstream that no other router reaches either is treated as if there were none,
 * except that no call waits for it while connections hang.
 */
public final class UpstreamPaths implements ForwardingHandler.Paths {

    /** Routers that are asked in a row before the upstream counts as not reached by others. */
    static final int MAX_FORWARDERS = 3;

    /**
     * How long other routers are not asked again after none of them reached an upstream,
     * milliseconds: a crashed upstream stays listed for a few seconds, and each question is a
     * connection that its callers wait for.
     */
    static final long RETRY_MILLIS = 500;

    /** Interval between two probes of lost paths, milliseconds; one path is probed at a time. */
    static final long PROBE_INTERVAL_MILLIS = 200;

    private static final Logger LOGGER = LogManager.getLogger(UpstreamPaths.class);

    private final TrafficLoop mLoop;

    private final ForwarderSelector mSelector;

    private final MetricRegistry mMetrics;

    private final Map<Address, UpstreamPath> mPaths = new HashMap<>();

    /**
     * The upstreams that this router does not reach directly, with the time until which that is
     * assumed, milliseconds; replaced on each change.
     */
    private volatile Map<UpstreamIncarnation, Long> mUnreachableUntil = Map.of();

    /** The number of upstreams to which connections are forwarded. */
    private volatile int mForwardedCount;

    /** The order in which lost paths are probed. */
    private final Deque<Address> mProbeOrder = new ArrayDeque<>();

    private boolean mProbing;

    private BiConsumer<UpstreamEntry, Consumer<Boolean>> mProbe = (upstream, listener) -> {};

    private Consumer<UpstreamEntry> mOnForwarded = upstream -> {};

    /** How an upstream is reached. */
    private enum State {
        /** Connections are direct. */
        DIRECT,
        /** A direct connection failed; whether another router reaches the upstream is not known. */
        DOUBTED,
        /** Another router reaches the upstream and this one does not. */
        FORWARDED,
        /** Direct connections hang and no other router reaches the upstream either. */
        UNREACHABLE
    }

    /** The path to one upstream. */
    private static final class UpstreamPath {

        private UpstreamEntry mUpstream;

        private State mState = State.DIRECT;

        /** The routers that failed since one last opened a connection. */
        private final Set<Incarnation> mFailed = new HashSet<>();

        /** Whether the upstream's machine refused all routers that failed. */
        private boolean mRefused = true;

        /** Whether the last direct connection that failed got no answer. */
        private boolean mSilent;

        /** Time until which no router is asked, milliseconds. */
        private long mRetryAt = Long.MIN_VALUE;

        UpstreamPath(UpstreamEntry upstream) {
            mUpstream = upstream;
        }
    }

    /**
     * Creates paths that are all direct.
     *
     * @param hall the hall of this router
     * @param peers the other routers that may be running; thread safe
     */
    public UpstreamPaths(
            TrafficLoop loop,
            HallId hall,
            Supplier<List<Member>> peers,
            RandomGenerator random,
            MetricRegistry metrics) {
        mLoop = loop;
        mSelector = new ForwarderSelector(hall, peers, random);
        mMetrics = metrics;
        metrics.register("forward.upstreams", (Gauge<Integer>) this::forwardedCount);
    }

    /**
     * Sets how a direct path is probed.
     *
     * @param probe opens a direct connection to an upstream and reports whether that succeeded, on
     *     the traffic loop
     */
    public void setProbe(BiConsumer<UpstreamEntry, Consumer<Boolean>> probe) {
        mProbe = probe;
    }

    /** Sets the action that runs when connections to an upstream begin to be forwarded. */
    public void onForwarded(Consumer<UpstreamEntry> action) {
        mOnForwarded = action;
    }

    /** Returns whether this router reaches an upstream directly, as far as it knows. */
    public boolean isReachable(UpstreamIncarnation upstream) {
        return mUnreachableUntil.getOrDefault(upstream, Long.MIN_VALUE) <= mLoop.millis();
    }

    /** Returns whether this router reaches most of some upstreams directly. Thread safe. */
    public boolean reachesMost(List<UpstreamEntry> upstreams) {
        long reachable = upstreams.stream().filter(each -> isReachable(each.incarnation())).count();
        return 2 * reachable >= upstreams.size();
    }

    /** Returns the number of upstreams to which connections are forwarded. */
    public int forwardedCount() {
        return mForwardedCount;
    }

    /** Makes an upstream known before a connection to it is opened. */
    void register(UpstreamEntry upstream) {
        UpstreamPath path =
                mPaths.computeIfAbsent(upstream.address(), address -> new UpstreamPath(upstream));
        path.mUpstream = upstream;
    }

    /** Discards the paths to upstreams that are no longer listed. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mPaths.values().removeIf(path -> !listed.contains(path.mUpstream.incarnation()));
        publish();
    }

    /** Returns whether a connection that was not opened may be opened on another path. */
    boolean hasAlternative(UpstreamEntry upstream) {
        UpstreamPath path = mPaths.get(upstream.address());
        return path != null
                && (path.mState == State.DOUBTED || path.mState == State.FORWARDED)
                && mSelector.select(path.mUpstream, path.mFailed, mLoop.millis()).isPresent();
    }

    /**
     * Returns whether a refused direct connection shows that nothing listens at the upstream's
     * address: the other routers that were asked were refused as well, or there is none.
     */
    boolean confirmsRefusal(UpstreamEntry upstream) {
        UpstreamPath path = mPaths.get(upstream.address());
        return path == null || path.mState == State.DIRECT && path.mRefused;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isUnreachable(InetSocketAddress upstream) {
        UpstreamPath path = mPaths.get(Address.of(upstream));
        return path != null && path.mState == State.UNREACHABLE && !mayAsk(path);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<ForwardingHandler.Path> select(InetSocketAddress upstream) {
        UpstreamPath path = mPaths.get(Address.of(upstream));
        if (path == null || path.mState == State.DIRECT) {
            return Optional.empty();
        }
        if (path.mState == State.UNREACHABLE) {
            doubt(path);
        }
        return mSelector
                .select(path.mUpstream, path.mFailed, mLoop.millis())
                .map(peer -> new ForwardingHandler.Path(path.mUpstream.incarnation(), peer));
    }

    /** {@inheritDoc} */
    @Override
    public boolean hasPeers() {
        return mSelector.hasPeers();
    }

    private boolean mayAsk(UpstreamPath path) {
        return mLoop.millis() >= path.mRetryAt && mSelector.hasPeers();
    }

    /** {@inheritDoc} */
    @Override
    public void recordDirect(InetSocketAddress upstream, Throwable failure) {
        UpstreamPath path = mPaths.get(Address.of(upstream));
        if (path == null) {
            return;
        }
        if (failure == null) {
            restore(path);
        } else if (path.mState == State.DIRECT && mayAsk(path)) {
            path.mSilent = failure instanceof ConnectTimeoutException;
            doubt(path);
        }
    }

    private void doubt(UpstreamPath path) {
        path.mState = State.DOUBTED;
        path.mFailed.clear();
        path.mRefused = true;
        publish();
    }

    /** Connects directly again. */
    private void restore(UpstreamPath path) {
        if (path.mState == State.FORWARDED) {
            LOGGER.info("upstream is reachable again id={}", path.mUpstream.id());
        }
        boolean changed = path.mState != State.DIRECT || path.mRetryAt > mLoop.millis();
        path.mState = State.DIRECT;
        path.mRefused = true;
        path.mRetryAt = Long.MIN_VALUE;
        if (changed) {
            publish();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recordForwarded(ForwardingHandler.Path used, ForwardOutcome outcome) {
        Incarnation forwarder = used.forwarder().incarnation();
        mSelector.record(forwarder, used.upstream(), outcome, mLoop.millis());
        mMetrics.counter("forward.sent." + outcome.name().toLowerCase(Locale.ROOT)).inc();
        mPaths.values().stream()
                .filter(path -> path.mUpstream.incarnation().equals(used.upstream()))
                .forEach(path -> apply(path, forwarder, outcome));
    }

    private void apply(UpstreamPath path, Incarnation forwarder, ForwardOutcome outcome) {
        if (path.mState == State.DIRECT) {
            return;
        }
        if (outcome == ForwardOutcome.OPENED) {
            path.mFailed.clear();
            if (path.mState != State.FORWARDED) {
                path.mState = State.FORWARDED;
                publish();
                LOGGER.warn(
                        "upstream is not reachable from this router, connections are forwarded"
                                + " id={} through={} forwardedUpstreams={} knownUpstreams={}",
                        path.mUpstream.id(),
                        forwarder,
                        forwardedCount(),
                        mPaths.size());
                mOnForwarded.accept(path.mUpstream);
                startProbing();
            }
            return;
        }
        path.mFailed.add(forwarder);
        path.mRefused &= outcome == ForwardOutcome.REFUSED;
        long now = mLoop.millis();
        boolean exhausted =
                path.mFailed.size() >= MAX_FORWARDERS
                        || mSelector.select(path.mUpstream, path.mFailed, now).isEmpty();
        if (exhausted) {
            if (path.mState == State.FORWARDED) {
                LOGGER.warn(
                        "upstream is not reachable through other routers any more id={}"
                                + " routersAsked={} lastOutcome={}",
                        path.mUpstream.id(),
                        path.mFailed.size(),
                        outcome);
            }
            path.mState = path.mSilent ? State.UNREACHABLE : State.DIRECT;
            path.mRetryAt = now + RETRY_MILLIS;
            publish();
            if (path.mSilent) {
                startProbing();
            }
        }
    }

    private void publish() {
        long now = mLoop.millis();
        Map<UpstreamIncarnation, Long> unreachableUntil = new HashMap<>();
        int forwarded = 0;
        for (UpstreamPath path : mPaths.values()) {
            long until =
                    switch (path.mState) {
                        case DIRECT -> path.mRetryAt;
                        case DOUBTED -> now + RETRY_MILLIS;
                        default -> Long.MAX_VALUE;
                    };
            if (until > now) {
                unreachableUntil.put(path.mUpstream.incarnation(), until);
            }
            forwarded += path.mState == State.FORWARDED ? 1 : 0;
        }
        mUnreachableUntil = Map.copyOf(unreachableUntil);
        mForwardedCount = forwarded;
    }

    private void startProbing() {
        if (!mProbing) {
            mProbing = true;
            mLoop.schedule(this::probeNext, PROBE_INTERVAL_MILLIS);
        }
    }

    /**
     * Probes the path that was not probed for the longest time. After a success the next one
     * follows at once, since a partition ends for all upstreams at the same time.
     */
    private void probeNext() {
        Optional<UpstreamPath> next = nextToProbe();
        if (next.isEmpty()) {
            mProbing = false;
            return;
        }
        UpstreamPath path = next.get();
        mProbe.accept(
                path.mUpstream,
                connected -> {
                    if (connected) {
                        restore(path);
                        probeNext();
                    } else {
                        mLoop.schedule(this::probeNext, PROBE_INTERVAL_MILLIS);
                    }
                });
    }

    private static boolean isProbed(UpstreamPath path) {
        return path.mState == State.FORWARDED || path.mState == State.UNREACHABLE;
    }

    private Optional<UpstreamPath> nextToProbe() {
        if (mProbeOrder.isEmpty()) {
            mPaths.forEach(
                    (address, path) -> {
                        if (isProbed(path)) {
                            mProbeOrder.add(address);
                        }
                    });
        }
        while (!mProbeOrder.isEmpty()) {
            UpstreamPath path = mPaths.get(mProbeOrder.remove());
            if (path != null && isProbed(path)) {
                return Optional.of(path);
            }
        }
        return Optional.empty();
    }
}

package org.troutpier.daemon.resume;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.node.ControlExecutor;

/**
 * Records and finds the origins of streams. This router records the streams that it began and those
 * that others announce to it; for any other one it asks all routers. Confined to the control
 * thread, except {@link #record}, {@link #resolve} and {@link #isVersionStored}, which are thread
 * safe. Invariant: an origin is found only if it was recorded, or if the service has had no other
 * version since the stream can have begun.
 */
public final class StreamOrigins {

    /**
     * Interval at which the other routers are asked, milliseconds. Asked again, since a router that
     * has just started connects to the others within a few hundred milliseconds.
     */
    public static final long ASK_MILLIS = 100;

    /** The ask at which the store is read too; a router with a record answers the first one. */
    private static final int STORE_ASK = 2;

    /** How often the others are asked; after that nobody is expected to know the origin. */
    public static final int MAX_ASKS = 4;

    /** Maximum number of attempts that others are asked for at a time. */
    private static final int MAX_PENDING = 2000;

    private final ControlExecutor mControl;

    private final LongSupplier mMillis;

    private final MetricRegistry mMetrics;

    private final Counter mAskCount;

    private final OriginRecords mRecords = new OriginRecords();

    /** The attempts that others are asked for. */
    private final Map<RequestId, List<Lookup>> mPending = new HashMap<>();

    private OriginPeers mPeers = OriginPeers.NONE;

    private OriginStore mStore = OriginStore.NONE;

    private volatile ServedVersions mVersions = ServedVersions.UNKNOWN;

    /** How an origin became known. */
    public enum Source {
        /** This router has recorded it. */
        RECORD,
        /** Another router has recorded it. */
        PEER,
        /** The store has it. */
        STORE,
        /** The service has had no other version. */
        ONLY_VERSION,
        /** It is unknown. */
        NONE;

        /** Returns the name in metrics and log lines. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * What is known of a stream. Immutable and thread safe.
     *
     * @param origin the origin; empty if it is unknown
     * @param conclusive whether an origin that is unknown will not become known either
     */
    public record Resolution(Optional<StreamOrigin> origin, Source source, boolean conclusive) {}

    /**
     * Creates an instance without peers.
     *
     * @param millis the monotonic clock, milliseconds
     */
    public StreamOrigins(ControlExecutor control, LongSupplier millis, MetricRegistry metrics) {
        mControl = control;
        mMillis = millis;
        mMetrics = metrics;
        mAskCount = metrics.counter("resumed.asked");
    }

    /** Sets the other routers. */
    public void setPeers(OriginPeers peers) {
        mPeers = peers;
    }

    /** Sets the store of origins. */
    public void setStore(OriginStore store) {
        mStore = store;
    }

    /** Sets what is known of the versions of services; to be called before any request arrives. */
    public void setVersions(ServedVersions versions) {
        mVersions = versions;
    }

    /**
     * Records that this router is about to relay the first event of an attempt, here and at other
     * routers.
     */
    public void record(RequestId attempt, StreamOrigin origin) {
        mControl.execute(
                () -> {
                    mRecords.put(attempt, origin, mMillis.getAsLong());
                    mPeers.announce(attempt, origin);
                    mStore.add(attempt, origin);
                });
    }

    /** Records an origin that another router announced. */
    public void onAnnounced(RequestId attempt, StreamOrigin origin) {
        mRecords.put(attempt, origin, mMillis.getAsLong());
    }

    /** Returns the recorded origin of the stream that an attempt began. */
    public Optional<StreamOrigin> find(RequestId attempt) {
        return mRecords.find(attempt, mMillis.getAsLong());
    }

    /** Returns whether the row of a version is stored. */
    public boolean isVersionStored(StreamOrigin origin) {
        return mVersions.isStored(origin);
    }

    /** Records the answer of another router that knows the origin. */
    public void onAnswer(RequestId attempt, StreamOrigin origin) {
        onFound(attempt, origin, Source.PEER);
    }

    private void onFound(RequestId attempt, StreamOrigin origin, Source source) {
        List<Lookup> lookups = mPending.remove(attempt);
        if (lookups != null) {
            mRecords.put(attempt, origin, mMillis.getAsLong());
            lookups.forEach(each -> each.finish(new Resolution(Optional.of(origin), source, true)));
        }
    }

    /**
     * Finds the origin of a stream that a caller resumes.
     *
     * @param attempt the attempt that began it; empty if the caller does not name it
     * @param service the service that would continue it
     * @param listener receives the result once, on the control thread
     */
    public void resolve(
            Optional<RequestId> attempt, String service, Consumer<Resolution> listener) {
        mControl.execute(
                () -> {
                    Optional<StreamOrigin> recorded = attempt.flatMap(this::find);
                    if (recorded.isPresent()) {
                        finish(new Resolution(recorded, Source.RECORD, true), listener);
                    } else if (attempt.isEmpty() || mPending.size() >= MAX_PENDING) {
                        resolveByVersions(service, attempt.isEmpty(), listener);
                    } else {
                        askPeers(attempt.get(), service, listener);
                    }
                });
    }

    private void askPeers(RequestId attempt, String service, Consumer<Resolution> listener) {
        Lookup lookup = new Lookup(attempt, service, listener);
        mPending.computeIfAbsent(attempt, each -> new ArrayList<>()).add(lookup);
        lookup.ask();
    }

    /**
     * Finds the origin of a stream that nobody recorded.
     *
     * @param asked whether all that may have recorded it were asked
     */
    private void resolveByVersions(String service, boolean asked, Consumer<Resolution> listener) {
        mVersions.refresh(
                read -> {
                    Optional<SoftwareVersion> only =
                            read ? mVersions.onlyVersion(service) : Optional.empty();
                    Optional<StreamOrigin> origin =
                            only.map(version -> new StreamOrigin(service, version));
                    Source source = only.isPresent() ? Source.ONLY_VERSION : Source.NONE;
                    finish(new Resolution(origin, source, asked && read), listener);
                });
    }

    private void finish(Resolution resolution, Consumer<Resolution> listener) {
        mMetrics.counter("resumed." + resolution.source().label()).inc();
        listener.accept(resolution);
    }

    /** A search for an origin at the other routers. Confined to the control thread. */
    private final class Lookup {

        private final RequestId mAttempt;

        private final String mService;

        private final Consumer<Resolution> mListener;

        private int mAsks;

        private boolean mStoreRead;

        Lookup(RequestId attempt, String service, Consumer<Resolution> listener) {
            mAttempt = attempt;
            mService = service;
            mListener = listener;
        }

        private boolean isPending() {
            return mPending.getOrDefault(mAttempt, List.of()).contains(this);
        }

        /** Asks the others, or gives up when they were asked often enough. */
        private void ask() {
            if (!isPending()) {
                return;
            }
            if (mAsks++ < MAX_ASKS) {
                mAskCount.inc();
                mPeers.ask(mAttempt);
                mControl.schedule(this::ask, ASK_MILLIS);
                if (mAsks == STORE_ASK) {
                    mStore.find(mAttempt, this::onStoreAnswer);
                }
                return;
            }
            mPending.computeIfPresent(
                    mAttempt,
                    (attempt, lookups) -> {
                        lookups.remove(this);
                        return lookups.isEmpty() ? null : lookups;
                    });
            resolveByVersions(mService, mStoreRead, mListener);
        }

        private void onStoreAnswer(OriginStore.Answer answer) {
            mStoreRead = answer.read();
            answer.origin().ifPresent(origin -> onFound(mAttempt, origin, Source.STORE));
        }

        private void finish(Resolution resolution) {
            StreamOrigins.this.finish(resolution, mListener);
        }
    }
}

package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.troutpier.daemon.node.ControlExecutor;

/**
 * Reads something for questions that need it as of a moment after they were asked. Confined to the
 * control thread. Invariants: a question is answered by a read that began after it; an answer that
 * is processed late, as after a pause of the process, serves only the questions that it was read
 * for; one read is in progress at a time.
 */
final class FreshReads {

    /** Shortest interval between the beginnings of two reads, milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 100;

    /** The same for each router that may exist: all together begin 500 reads a second at most. */
    private static final long INTERVAL_PER_ROUTER_MILLIS = 2;

    private final ControlExecutor mControl;

    private final LongSupplier mMillis;

    private final IntSupplier mRouters;

    private final Consumer<Consumer<Boolean>> mReader;

    /** The questions for the next read; while there are any, it is in progress or scheduled. */
    private List<Consumer<Boolean>> mWaiting = new ArrayList<>();

    /** When the last read began; long ago before the first. */
    private long mBeganAt;

    private boolean mReading;

    /**
     * Creates reads.
     *
     * @param millis the monotonic clock, milliseconds
     * @param routers the number of routers that may read
     * @param reader begins a read; passes whether it succeeded on the control thread
     */
    FreshReads(
            ControlExecutor control,
            LongSupplier millis,
            IntSupplier routers,
            Consumer<Consumer<Boolean>> reader) {
        mControl = control;
        mMillis = millis;
        mRouters = routers;
        mReader = reader;
        mBeganAt = millis.getAsLong() - intervalMillis();
    }

    private long intervalMillis() {
        return Math.max(MIN_INTERVAL_MILLIS, INTERVAL_PER_ROUTER_MILLIS * mRouters.getAsInt());
    }

    /**
     * Has a question answered by the next read.
     *
     * @param question receives whether the read succeeded
     */
    void await(Consumer<Boolean> question) {
        mWaiting.add(question);
        if (mWaiting.size() == 1 && !mReading) {
            schedule();
        }
    }

    /** Begins the next read, once the interval since the last one has passed. */
    private void schedule() {
        long delay = mBeganAt + intervalMillis() - mMillis.getAsLong();
        if (delay > 0) {
            mControl.schedule(this::begin, delay);
        } else {
            begin();
        }
    }

    private void begin() {
        List<Consumer<Boolean>> asked = mWaiting;
        mWaiting = new ArrayList<>();
        mReading = true;
        mBeganAt = mMillis.getAsLong();
        mReader.accept(read -> finish(asked, read));
    }

    private void finish(List<Consumer<Boolean>> asked, boolean read) {
        mReading = false;
        if (!mWaiting.isEmpty()) {
            schedule();
        }
        asked.forEach(each -> each.accept(read));
    }
}

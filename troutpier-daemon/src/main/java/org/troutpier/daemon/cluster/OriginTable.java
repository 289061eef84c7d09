package org.troutpier.daemon.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.resume.OriginBatch;
import org.troutpier.daemon.resume.OriginStore;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Outcome;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;
import org.troutpier.daemon.rows.RowStore.WriteResult;

/**
 * The origins of streams in a table of the store, for the loss of all routers. A router writes
 * those of its streams in batches, and only while its service is in doubt: where one version alone
 * may have begun a stream, nothing is written. The table is read when an origin is asked for that
 * no router knows. Confined to the control thread. Invariants: one write is in progress at a time;
 * all routers together write at most {@link #MAX_WRITES_PER_SECOND} rows a second; a row is removed
 * only once none of its streams can be resumed.
 */
public final class OriginTable implements OriginStore {

    static final String TABLE = "troutpier_origins";

    /** Its own part, since the writes to one part are carried out one after the other. */
    static final String PART = "origins";

    /** Shortest time over which origins are collected for one write, milliseconds. */
    static final long MIN_FLUSH_MILLIS = 250;

    /** Writes of all routers together in a second; a tenth of what the store takes. */
    static final int MAX_WRITES_PER_SECOND = 40;

    /** Routers from which on a batch would come too late for most streams; none are written. */
    static final int MAX_ROUTERS = 400;

    /** Origins from which on a router begins another row. */
    private static final int ROW_ORIGINS = 64;

    /** Most origins of a row: 80 characters each, which fits into any store's rows. */
    private static final int MAX_ROW_ORIGINS = 500;

    /** Delay after a write that the store did not take, milliseconds. */
    private static final long RETRY_MILLIS = 1000;

    /** Most rows that a clean-up removes, so that it takes few of the store's writes. */
    private static final int MAX_REMOVALS = 20;

    /** Streams of this router that are remembered for the case that their service gets in doubt. */
    private static final int MAX_REMEMBERED = 5000;

    /** How long what was read is used, milliseconds. */
    private static final long COPY_MILLIS = 1000;

    private static final long CLEANUP_MILLIS = 15_000;

    private static final int MILLIS_PER_SECOND = 1000;

    private static final Logger LOGGER = LogManager.getLogger(OriginTable.class);

    private final Node mNode;

    private final RowStore mStore;

    private final VersionTable mVersions;

    private final IntSupplier mRouters;

    private final BooleanSupplier mCleansUp;

    private final RowDecoder mDecoder;

    /** This router's streams that can be resumed, the oldest first. */
    private final Deque<OriginBatch.Begun> mRecent = new ArrayDeque<>();

    /** The streams that are to be written. */
    private final Deque<OriginBatch.Begun> mPending = new ArrayDeque<>();

    /** This router's complete rows that are not removed yet. */
    private final List<OwnRow> mOwnRows = new ArrayList<>();

    /** The row to which the next origins are added. */
    private OwnRow mCurrent;

    private int mRowCount;

    private boolean mFlushScheduled;

    private boolean mWriting;

    /** What was read last, by attempt. */
    private Map<String, StreamOrigin> mCopy = Map.of();

    private OptionalLong mCopyAt = OptionalLong.empty();

    /** The questions that wait for the table to be read; empty while no read is in progress. */
    private final List<Question> mQuestions = new ArrayList<>();

    /** Rows of any router that a clean-up has seen, by key. */
    private final Map<String, SeenRow> mSeen = new HashMap<>();

    /** Whether the table may have rows of ended routers. */
    private boolean mCleanUpDue = true;

    /** A row of this router. Confined to the control thread. */
    private static final class OwnRow {

        final String mKey;

        final List<OriginBatch.Begun> mStreams = new ArrayList<>();

        long mVersion;

        OwnRow(String key) {
            mKey = key;
        }

        long newestAt() {
            return mStreams.isEmpty() ? 0 : mStreams.get(mStreams.size() - 1).at();
        }
    }

    /** A question for an origin. */
    private record Question(RequestId attempt, Consumer<Answer> next) {}

    /**
     * A row that a clean-up has seen.
     *
     * @param since when this version was seen first, milliseconds on the monotonic clock
     */
    private record SeenRow(long version, long since) {}

    /**
     * Creates a table.
     *
     * @param versions the versions of services, by which a service is in doubt
     * @param routers the number of routers
     * @param cleansUp whether this router removes the rows of routers that have ended
     */
    public OriginTable(
            Node node,
            RowStore store,
            VersionTable versions,
            IntSupplier routers,
            BooleanSupplier cleansUp) {
        mNode = node;
        mStore = store;
        mVersions = versions;
        mRouters = routers;
        mCleansUp = cleansUp;
        mDecoder = new RowDecoder(node.metrics(), node::millis);
        mCurrent = newRow();
    }

    /** Writes the origins of services that come into doubt, from now on. */
    public void start() {
        mVersions.setDoubtListener(this::onDoubt);
        mNode.control().scheduleWithFixedDelay(this::cleanUp, CLEANUP_MILLIS);
    }

    private OwnRow newRow() {
        return new OwnRow(mNode.incarnation().value() + "/" + ++mRowCount);
    }

    /** {@inheritDoc} */
    @Override
    public void add(RequestId attempt, StreamOrigin origin) {
        OriginBatch.Begun begun = new OriginBatch.Begun(attempt, origin, mNode.millis());
        mRecent.add(begun);
        forget();
        if (mVersions.isInDoubt(origin.service())) {
            mPending.add(begun);
            scheduleFlush(0);
        }
    }

    private void forget() {
        forget(mRecent);
        forget(mPending);
    }

    private void forget(Deque<OriginBatch.Begun> streams) {
        long oldest = mNode.millis() - mVersions.retentionMillis();
        while (streams.size() > MAX_REMEMBERED
                || (!streams.isEmpty() && streams.peek().at() < oldest)) {
            streams.remove();
        }
    }

    private void onDoubt(String service) {
        forget();
        mRecent.stream()
                .filter(each -> each.origin().service().equals(service))
                .forEach(mPending::add);
        mCleanUpDue = true;
        scheduleFlush(0);
    }

    /**
     * Schedules the next write, if there is anything to write.
     *
     * @param atLeastMillis the shortest delay
     */
    private void scheduleFlush(long atLeastMillis) {
        int routers = mRouters.getAsInt();
        if (routers > MAX_ROUTERS) {
            mPending.clear();
        }
        if (!mFlushScheduled && !mWriting && !mPending.isEmpty()) {
            mFlushScheduled = true;
            long share = (long) routers * MILLIS_PER_SECOND / MAX_WRITES_PER_SECOND;
            long interval = Math.max(MIN_FLUSH_MILLIS, share);
            mNode.control().schedule(this::flush, Math.max(atLeastMillis, interval));
        }
    }

    /** Adds pending origins to the current row, and writes it. */
    private void flush() {
        mFlushScheduled = false;
        forget();
        if (mPending.isEmpty()) {
            return;
        }
        if (mCurrent.mStreams.size() >= ROW_ORIGINS) {
            mOwnRows.add(mCurrent);
            mCurrent = newRow();
        }
        while (!mPending.isEmpty() && mCurrent.mStreams.size() < MAX_ROW_ORIGINS) {
            mCurrent.mStreams.add(mPending.remove());
        }
        mWriting = true;
        OwnRow row = mCurrent;
        byte[] value = Json.bytes(OriginBatch.of(row.mStreams));
        mStore.write(new Row(TABLE, PART, row.mKey, value, row.mVersion, false), row.mVersion)
                .thenAccept(result -> mNode.control().execute(() -> onWritten(row, result)));
    }

    /** Goes on; origins that may not be stored are written again, in another row. */
    private void onWritten(OwnRow row, WriteResult result) {
        mWriting = false;
        mNode.count("origins.rows." + (result.outcome() == Outcome.WRITTEN ? "stored" : "failed"));
        if (result.outcome() == Outcome.WRITTEN) {
            row.mVersion = result.version();
            scheduleFlush(0);
        } else {
            row.mStreams.forEach(mPending::add);
            mCurrent = newRow();
            scheduleFlush(RETRY_MILLIS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void find(RequestId attempt, Consumer<Answer> next) {
        if (mCopyAt.isPresent() && mNode.millis() - mCopyAt.getAsLong() <= COPY_MILLIS) {
            next.accept(answer(attempt));
            return;
        }
        mQuestions.add(new Question(attempt, next));
        if (mQuestions.size() == 1) {
            mStore.read(TABLE, PART)
                    .whenComplete(
                            (page, failure) ->
                                    mNode.control().execute(() -> onRead(page, failure)));
        }
    }

    private Answer answer(RequestId attempt) {
        return new Answer(Optional.ofNullable(mCopy.get(attempt.value())), true);
    }

    private void onRead(RowPage page, Throwable failure) {
        List<Question> questions = List.copyOf(mQuestions);
        mQuestions.clear();
        if (failure != null) {
            LOGGER.warn(
                    "origins cannot be read, streams stay unknown questions={} cause={}",
                    questions.size(),
                    failure.getMessage());
            questions.forEach(each -> each.next().accept(Answer.UNREAD));
            return;
        }
        Map<String, StreamOrigin> origins = new HashMap<>();
        for (Row row : page.rows()) {
            mDecoder.decode(row, each -> Json.read(each.value(), OriginBatch.class))
                    .ifPresent(batch -> batch.addTo(origins));
        }
        mCleanUpDue |= !page.rows().isEmpty();
        mCopy = origins;
        mCopyAt = OptionalLong.of(mNode.millis());
        questions.forEach(each -> each.next().accept(answer(each.attempt())));
    }

    /** Removes this router's expired rows, and those of ended routers where that is its task. */
    private void cleanUp() {
        long oldest = mNode.millis() - mVersions.retentionMillis();
        if (!mWriting && !mCurrent.mStreams.isEmpty() && mCurrent.newestAt() < oldest) {
            mOwnRows.add(mCurrent);
            mCurrent = newRow();
        }
        mOwnRows.removeIf(row -> row.newestAt() < oldest && remove(row));
        if (mCopyAt.isPresent() && mNode.millis() - mCopyAt.getAsLong() > COPY_MILLIS) {
            mCopy = Map.of();
            mCopyAt = OptionalLong.empty();
        }
        if (mCleanUpDue && mCleansUp.getAsBoolean()) {
            mStore.read(TABLE, PART)
                    .thenAccept(page -> mNode.control().execute(() -> cleanUp(page)));
        }
    }

    private boolean remove(OwnRow row) {
        if (row.mVersion != 0) {
            mStore.delete(new Row(TABLE, PART, row.mKey, new byte[0], row.mVersion, false));
        }
        return true;
    }

    /** Removes the rows that no router has changed for the retention time. */
    private void cleanUp(RowPage page) {
        long now = mNode.millis();
        Map<String, SeenRow> seen = new HashMap<>();
        int removed = 0;
        for (Row row : page.rows()) {
            SeenRow before = mSeen.get(row.key());
            boolean changed = before == null || before.version() != row.version();
            SeenRow current = changed ? new SeenRow(row.version(), now) : before;
            seen.put(row.key(), current);
            boolean expired = now - current.since() > mVersions.retentionMillis();
            if (expired && removed < MAX_REMOVALS) {
                removed++;
                mStore.delete(row);
            }
        }
        mSeen.clear();
        mSeen.putAll(seen);
        mCleanUpDue = !page.rows().isEmpty() || mVersions.isAnyInDoubt();
    }
}

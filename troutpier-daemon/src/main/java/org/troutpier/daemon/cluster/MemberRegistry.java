package org.troutpier.daemon.cluster;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.WriteResult;
import org.troutpier.daemon.rows.StoreVersion;
import org.troutpier.daemon.rows.TableFollower;

/**
 * Registers this router in a table of the store, and finds the other routers there. The table has
 * one row for each instance, written by its latest start. Confined to the control thread.
 * Invariants: a row only says where a router may be; whether it runs shows once it is connected. A
 * row that cannot be decoded neither adds a router nor removes one; in place of this instance's
 * row, it is overwritten.
 */
public final class MemberRegistry implements TableFollower.Listener {

    private static final String TABLE = "troutpier_members";

    /** Delay before a write is retried, milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /**
     * Timing of the table's polling. The table changes only when a router starts, so the return of
     * the store may be noticed late. Each start answers all waiting calls, so with a call by each
     * router the number of calls would grow with the square of the number of routers. Therefore
     * only the hall's table reader polls, and a page that it shares, at most one wait and one pause
     * after the last, saves the others their calls.
     */
    private static final TableFollower.PollTiming POLL_TIMING =
            new TableFollower.PollTiming(3000, 500, 4000, 2000);

    private static final Logger LOGGER = LogManager.getLogger(MemberRegistry.class);

    private final Node mNode;

    private final RowStore mStore;

    private final PeerExchange mExchange;

    private final RowDecoder mDecoder;

    /** Receives the number of instances seen so far. */
    private final IntConsumer mCountListener;

    /** Runs if this instance has no row of an earlier start. */
    private final Runnable mOnFirstStart;

    /** Instances that have had a readable row, including this one. */
    private final Set<InstanceId> mSeenInstances = new HashSet<>();

    /** This router's row, encoded. */
    private final byte[] mOwnRow;

    /** The last known version of this instance's row. */
    private long mOwnVersion;

    /** Whether the next snapshot is that of a store restored from a backup copy. */
    private boolean mRestored;

    /** Whether the table was read; this router's row is not written before. */
    private boolean mLoaded;

    /**
     * Creates a registry.
     *
     * @param address where the others reach this router
     * @param capacity this router's capacity to work for the others
     * @param exchange receives the rows of the routers
     * @param countListener receives the number of instances seen so far, on the control thread
     * @param onFirstStart runs if this instance has no row of an earlier start, on the control
     *     thread
     */
    public MemberRegistry(
            Node node,
            RowStore store,
            Address address,
            RouterCapacity capacity,
            PeerExchange exchange,
            IntConsumer countListener,
            Runnable onFirstStart) {
        mOnFirstStart = onFirstStart;
        mDecoder = new RowDecoder(node.metrics(), node::millis);
        mCountListener = countListener;
        mNode = node;
        mStore = store;
        mExchange = exchange;
        mOwnRow =
                Json.bytes(
                        new MemberRow(
                                node.incarnation().instance().value(),
                                node.incarnation().value(),
                                address.toString(),
                                node.hall().value(),
                                capacity.points()));
    }

    /**
     * Follows the table, and registers this router once the table was read: written earlier, the
     * row of a restarted router conflicts with that of its previous start.
     */
    public void start() {
        TableExchange.ForPages pages = new TableExchange.ForPages(mExchange.tables(), TABLE);
        pages.follow(mNode, mStore, POLL_TIMING, this, pages);
    }

    private void register() {
        String key = mNode.incarnation().instance().value();
        mStore.write(new Row(TABLE, "", key, mOwnRow, 0, false), mOwnVersion)
                .thenAccept(write -> mNode.control().execute(() -> onWritten(write)));
    }

    private void onWritten(WriteResult write) {
        switch (write.outcome()) {
            case WRITTEN -> LOGGER.info("router registered version={}", write.version());
            case CONFLICT, OUTDATED -> {
                mOwnVersion = write.version();
                register();
            }
            default -> mNode.control().schedule(this::register, RETRY_MILLIS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onRestored() {
        mRestored = true;
    }

    /**
     * {@inheritDoc} The snapshot of a restored store brings no news of known routers: their rows
     * may be those of earlier starts, or missing until they are written again.
     */
    @Override
    public void onSnapshot(List<Row> rows) {
        if (mRestored) {
            mRestored = false;
            applyRestored(rows);
            return;
        }
        onChanges(rows);
        if (!mLoaded) {
            mLoaded = true;
            if (mOwnVersion == 0) {
                mOnFirstStart.run();
            }
            register();
        }
    }

    /**
     * Adds the unknown routers of a restored snapshot, and writes this router's row again where the
     * snapshot has another one or none.
     */
    private void applyRestored(List<Row> rows) {
        String self = mNode.incarnation().instance().value();
        mOwnVersion = StoreVersion.NONE;
        boolean current = false;
        for (Row row : rows) {
            if (row.key().equals(self)) {
                mOwnVersion = row.version();
                current = Arrays.equals(row.value(), mOwnRow);
            } else if (decodeInstance(row)
                    .filter(each -> !mSeenInstances.contains(each))
                    .isPresent()) {
                onChanges(List.of(row));
            }
        }
        if (!current) {
            long delayMillis = TablePollTimings.randomRestoreDelayMillis();
            LOGGER.info("router registers again inMillis={}", delayMillis);
            mNode.control().schedule(this::register, delayMillis);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        rows.forEach(row -> decodeInstance(row).ifPresent(instance -> apply(instance, row)));
        mCountListener.accept(mSeenInstances.size());
    }

    private void apply(InstanceId instance, Row row) {
        Optional<MemberRow> member = row.deleted() ? Optional.empty() : decodeMember(row);
        if (instance.equals(mNode.incarnation().instance())) {
            mOwnVersion = row.deleted() ? 0 : row.version();
            if (mLoaded && member.isEmpty()) {
                mNode.control().schedule(this::register, RETRY_MILLIS);
            }
        }
        if (row.deleted()) {
            mExchange.updateMember(instance, null);
        } else if (member.isPresent()) {
            mSeenInstances.add(instance);
            mExchange.updateMember(instance, member.get());
        }
    }

    private Optional<InstanceId> decodeInstance(Row row) {
        return mDecoder.decode(row, each -> new InstanceId(each.key()));
    }

    /**
     * Decodes a row.
     *
     * @return its content, or empty where it cannot be decoded or is not that of the row's key
     */
    private Optional<MemberRow> decodeMember(Row row) {
        return mDecoder.decode(
                row,
                each -> {
                    MemberRow member = Json.read(each.value(), MemberRow.class);
                    boolean matchesKey = member.instance().equals(each.key());
                    Check.that("instance", matchesKey, "is not the key " + each.key());
                    return member;
                });
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}
}

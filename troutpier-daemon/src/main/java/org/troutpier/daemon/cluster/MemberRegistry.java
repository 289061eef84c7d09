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
 * Where routers find each other: a table with one row for each instance, which its latest
 * incarnation wrote at its start. Confined to the control thread. Invariants: a row only says where
 * a router may be; whether it is there shows when it is reached. A row that cannot be read names no
 * router and takes none away; where it stands in this instance's place, its own is written again.
 */
public final class MemberRegistry implements TableFollower.Listener {

    /** The table. */
    private static final String TABLE = "troutpier_members";

    /** How long to wait before a write is tried again, milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /**
     * How the table is followed: it changes only when a router starts, so the store's return need
     * not be noticed at once. Each start answers all calls that wait, so with a call of its own at
     * each router, calls grew with the square of the routers: the hall's reader reads, and its
     * pages, at most a wait and a pause apart, save the others theirs.
     */
    private static final TableFollower.PollTiming PACE =
            new TableFollower.PollTiming(3000, 500, 4000, 2000);

    /** Logs the registration. */
    private static final Logger LOGGER = LogManager.getLogger(MemberRegistry.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The store. */
    private final RowStore mStore;

    /** Receives who is listed. */
    private final PeerExchange mExchange;

    /** Tells of rows that cannot be read. */
    private final RowDecoder mFaults;

    /** Receives how many routers have been there. */
    private final IntConsumer mCount;

    /** Runs where this instance has no row of an earlier start. */
    private final Runnable mFirstStart;

    /** The instances that have been listed. */
    private final Set<InstanceId> mSeen = new HashSet<>();

    /** This router's row. */
    private final byte[] mSelf;

    /** The version of this instance's row as far as it is known. */
    private long mVersion;

    /** Whether the next whole table is from a copy. */
    private boolean mRestored;

    /** Whether the table was read, so that this router's row can be written. */
    private boolean mRead;

    /**
     * Creates a registry.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param store the store
     * @param address where the others reach this router
     * @param capacity how much this router can do for the others
     * @param exchange receives who is listed
     * @param count receives how many routers have been there, on the control thread
     * @param firstStart runs where this instance has no row of an earlier start, on the control
     *     thread
     */
    public MemberRegistry(
            Node node,
            RowStore store,
            Address address,
            RouterCapacity capacity,
            PeerExchange exchange,
            IntConsumer count,
            Runnable firstStart) {
        mFirstStart = firstStart;
        mFaults = new RowDecoder(node.metrics(), node::millis);
        mCount = count;
        mNode = node;
        mStore = store;
        mExchange = exchange;
        mSelf =
                Json.bytes(
                        new MemberRow(
                                node.incarnation().instance().value(),
                                node.incarnation().value(),
                                address.toString(),
                                node.hall().value(),
                                capacity.points()));
    }

    /**
     * Follows the others, and registers this router once the table was read: written before that,
     * the row of a router that started again was in conflict with the one of its earlier start.
     */
    public void start() {
        TableExchange.PageSharer pages = new TableExchange.PageSharer(mExchange.tables(), TABLE);
        pages.follow(mNode, mStore, PACE, this, pages);
    }

    /** Writes this router's row. */
    private void register() {
        String key = mNode.incarnation().instance().value();
        mStore.write(new Row(TABLE, "", key, mSelf, 0, false), mVersion)
                .thenAccept(write -> mNode.control().execute(() -> written(write)));
    }

    /**
     * Goes on after the write.
     *
     * @param write what is known of it
     */
    private void written(WriteResult write) {
        switch (write.outcome()) {
            case WRITTEN -> LOGGER.info("router registered version={}", write.version());
            case CONFLICT, OUTDATED -> {
                mVersion = write.version();
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
     * {@inheritDoc} A copy brings nothing new of routers that are known: their rows may be those of
     * earlier starts, or missing until they are written again.
     */
    @Override
    public void onSnapshot(List<Row> rows) {
        if (mRestored) {
            mRestored = false;
            restore(rows);
            return;
        }
        onChanges(rows);
        if (!mRead) {
            mRead = true;
            if (mVersion == 0) {
                mFirstStart.run();
            }
            register();
        }
    }

    /**
     * Takes the routers of a copy that are not known, and writes this one's row again where the
     * copy has another or none.
     *
     * @param rows the rows of the copy
     */
    private void restore(List<Row> rows) {
        String self = mNode.incarnation().instance().value();
        mVersion = StoreVersion.NONE;
        boolean current = false;
        for (Row row : rows) {
            if (row.key().equals(self)) {
                mVersion = row.version();
                current = Arrays.equals(row.value(), mSelf);
            } else if (instance(row).filter(each -> !mSeen.contains(each)).isPresent()) {
                onChanges(List.of(row));
            }
        }
        if (!current) {
            long millis = TablePollTimings.restoreMillis();
            LOGGER.info("router registers again inMillis={}", millis);
            mNode.control().schedule(this::register, millis);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        rows.forEach(row -> instance(row).ifPresent(instance -> changed(instance, row)));
        mCount.accept(mSeen.size());
    }

    /**
     * Takes a changed row.
     *
     * @param instance the router that it is of
     * @param row the row
     */
    private void changed(InstanceId instance, Row row) {
        Optional<MemberRow> member = row.deleted() ? Optional.empty() : member(row);
        if (instance.equals(mNode.incarnation().instance())) {
            mVersion = row.deleted() ? 0 : row.version();
            if (mRead && member.isEmpty()) {
                mNode.control().schedule(this::register, RETRY_MILLIS);
            }
        }
        if (row.deleted()) {
            mExchange.listed(instance, null);
        } else if (member.isPresent()) {
            mSeen.add(instance);
            mExchange.listed(instance, member.get());
        }
    }

    /**
     * Reads a row's key.
     *
     * @param row the row
     * @return the router that it is of, or empty where no router has such a key
     */
    private Optional<InstanceId> instance(Row row) {
        return mFaults.decode(row, each -> new InstanceId(each.key()));
    }

    /**
     * Reads a row.
     *
     * @param row the row
     * @return what it says, or empty where it cannot be read or is of another router
     */
    private Optional<MemberRow> member(Row row) {
        return mFaults.decode(
                row,
                each -> {
                    MemberRow member = Json.read(each.value(), MemberRow.class);
                    boolean named = member.instance().equals(each.key());
                    Check.that("instance", named, "is not the key " + each.key());
                    return member;
                });
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}
}

package org.troutpier.daemon.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowWrite;
import org.troutpier.daemon.rows.TableFollower;

/**
 * Where routers find each other: a table with one row for each instance, which its latest
 * incarnation wrote at its start. Confined to the control thread. Invariant: a row only says where
 * a router may be; whether it is there shows when it is reached.
 */
public final class MemberRegistry implements TableFollower.Listener {

    /** The table. */
    private static final String TABLE = "troutpier_members";

    /** How long to wait before a write is tried again, milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /**
     * How the table is followed: it changes only when a router starts, so the store's return need
     * not be noticed at once.
     */
    private static final TableFollower.Pace PACE = new TableFollower.Pace(10_000, 500, 0, 2000);

    /** Logs the registration. */
    private static final Logger LOGGER = LogManager.getLogger(MemberRegistry.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The store. */
    private final RowStore mStore;

    /** Receives who is listed. */
    private final PeerExchange mExchange;

    /** Receives how many routers have been there. */
    private final IntConsumer mCount;

    /** The instances that have been listed. */
    private final Set<InstanceId> mSeen = new HashSet<>();

    /** This router's row. */
    private final byte[] mSelf;

    /** The version of this instance's row as far as it is known. */
    private long mVersion;

    /**
     * Creates a registry.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param store the store
     * @param address where the others reach this router
     * @param capacity how much this router can do for the others
     * @param exchange receives who is listed
     * @param count receives how many routers have been there, on the control thread
     */
    public MemberRegistry(
            Node node,
            RowStore store,
            Address address,
            RouterCapacity capacity,
            PeerExchange exchange,
            IntConsumer count) {
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

    /** Registers this router and follows the others. */
    public void start() {
        mNode.control().execute(this::register);
        new TableFollower(
                        mNode.control(),
                        mStore,
                        TABLE,
                        PACE,
                        this,
                        TableFollower.Sharer.NONE,
                        mNode.nanos())
                .start();
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
    private void written(RowWrite write) {
        switch (write.outcome()) {
            case WRITTEN -> LOGGER.info("router registered version={}", write.version());
            case CONFLICT -> {
                mVersion = write.version();
                register();
            }
            default -> mNode.control().later(this::register, RETRY_MILLIS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void whole(List<Row> rows) {
        changed(rows);
    }

    /** {@inheritDoc} */
    @Override
    public void changed(List<Row> rows) {
        for (Row row : rows) {
            InstanceId instance = new InstanceId(row.key());
            if (instance.equals(mNode.incarnation().instance())) {
                mVersion = row.version();
            }
            mSeen.add(instance);
            mExchange.listed(instance, row.deleted() ? null : member(row));
        }
        mCount.accept(mSeen.size());
    }

    /**
     * Reads a row.
     *
     * @param row the row
     * @return what it says, or null where it cannot be read
     */
    private static MemberRow member(Row row) {
        try {
            return Json.read(row.value(), MemberRow.class);
        } catch (RuntimeException exception) {
            LOGGER.error("router's row not readable key={}", row.key(), exception);
            return null;
        }
    }

    /** {@inheritDoc} */
    @Override
    public void lost() {}
}

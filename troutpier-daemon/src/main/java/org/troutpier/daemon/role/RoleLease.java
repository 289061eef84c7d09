package org.troutpier.daemon.role;

import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Outcome;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;
import org.troutpier.daemon.rows.RowStore.WriteResult;
import org.troutpier.daemon.rows.StoreVersion;

/**
 * Lease of the one router that orders role changes: a row that its holder renews. Confined to the
 * control thread. Invariants: a router believes that it holds the lease only until one term after
 * it sent the last acknowledged renewal, on the monotonic clock; another router takes the lease
 * over only after the row has not changed for a term and a margin, and then gives no orders for one
 * more term, since engines do not verify who orders; the fencing token is the version of the row at
 * the acquisition, so it increases, even if the store is restored from a copy. A holder that finds
 * its own row after a restart resumes at once; one that finds it in a restored copy waits like any
 * other router.
 */
final class RoleLease {

    private static final String TABLE = "troutpier_leases";

    private static final String KEY = "engine-roles";

    private static final int RENEWALS_PER_TERM = 3;

    /**
     * How much longer than a term the row must be unchanged before it is taken over, milliseconds.
     */
    private static final long TAKEOVER_MARGIN_MILLIS = 1000;

    /** How often a router that does not hold the lease reads the row, milliseconds. */
    private static final long READ_INTERVAL_MILLIS = 1500;

    private static final Logger LOGGER = LogManager.getLogger(RoleLease.class);

    /** The identity, threads, clock and metrics of the router. */
    private final Node mNode;

    private final RowStore mStore;

    /** Reports rows that cannot be decoded. */
    private final RowDecoder mDecoder;

    /** How long the lease lasts without renewal, milliseconds. */
    private final long mTermMillis;

    /** Last seen version of the row; 0 if there is no row. */
    private long mVersion;

    /** When that version was first seen, milliseconds. */
    private long mVersionSince;

    /** Whether the row was read since the last failure or conflict. */
    private boolean mRead;

    /** The fencing token; 0 while the lease is not held. */
    private long mToken;

    /** When the lease expires, milliseconds. */
    private long mValidUntil;

    /** When orders may first be given, milliseconds. */
    private long mMayOrderFrom;

    /** When the next call is due, milliseconds. */
    private long mNextCall;

    /** Whether a call to the store is in flight. */
    private boolean mCallPending;

    /** The era of the store when the row was last read. */
    private long mEra;

    /** Counts renewals, so that each one changes the row. */
    private long mRenewals;

    /**
     * Content of the row.
     *
     * @param holder the instance that holds the lease
     * @param renewals the number of its renewals
     * @param era the era of the store as known to the writer. A row of an earlier era comes from a
     *     restored copy, and another router may have held the lease since
     */
    record Holder(String holder, long renewals, long era) {}

    /**
     * Creates a lease that is not held.
     *
     * @param termMillis how long the lease lasts without renewal, milliseconds
     */
    RoleLease(Node node, RowStore store, long termMillis) {
        mDecoder = new RowDecoder(node.metrics(), node::millis);
        mNode = node;
        mStore = store;
        mTermMillis = termMillis;
    }

    boolean isHeld() {
        return mToken != 0 && mNode.millis() < mValidUntil;
    }

    /**
     * Returns whether this router may give orders: it holds the lease, and the term of the previous
     * holder has passed.
     */
    boolean mayOrder() {
        return isHeld() && mNode.millis() >= mMayOrderFrom;
    }

    /** Returns the proof of the lease; only valid while {@link #mayOrder()}. */
    EngineRoleClient.LeaseGrant grant() {
        return new EngineRoleClient.LeaseGrant(instanceName(), mToken);
    }

    /**
     * Renews the lease, or tries to acquire it.
     *
     * @param otherHolds whether another router recently reported that it holds the lease
     * @param eligible whether this router competes for the lease; a holder keeps it regardless
     * @param ableToOrder whether this router reaches the engines; otherwise it neither competes nor
     *     renews, so that another router can take over
     */
    void tick(boolean otherHolds, boolean eligible, boolean ableToOrder) {
        if (mToken != 0 && !isHeld()) {
            LOGGER.warn("role lease expired without renewal token={}", mToken);
            mToken = 0;
        }
        if (mCallPending || mNode.millis() < mNextCall || !ableToOrder) {
            return;
        }
        if (isHeld()) {
            write(mVersion, true);
        } else if (eligible && (!otherHolds || !mRead)) {
            read();
        }
    }

    private void read() {
        mCallPending = true;
        mNextCall = mNode.millis() + READ_INTERVAL_MILLIS;
        mStore.read(TABLE, "")
                .whenComplete(
                        (page, failure) -> mNode.control().execute(() -> onRead(page, failure)));
    }

    /**
     * Evaluates the row, and writes it if the lease is free.
     *
     * @param page the rows that were read, or null
     * @param failure why nothing was read, or null
     */
    private void onRead(RowPage page, Throwable failure) {
        mCallPending = false;
        if (failure != null) {
            mRead = false;
            return;
        }
        List<Row> rows = page.rows().stream().filter(row -> row.key().equals(KEY)).toList();
        long version = rows.isEmpty() ? 0 : rows.get(0).version();
        if (!mRead || version != mVersion) {
            mRead = true;
            mVersion = version;
            mVersionSince = mNode.millis();
        }
        mEra = StoreVersion.era(page.version());
        boolean own = !rows.isEmpty() && holder(rows.get(0)).filter(this::isOwn).isPresent();
        boolean unchangedForTerm =
                mNode.millis() - mVersionSince >= mTermMillis + TAKEOVER_MARGIN_MILLIS;
        if (version == 0 || own || unchangedForTerm) {
            mMayOrderFrom = own ? mNode.millis() : mNode.millis() + mTermMillis;
            write(version, false);
        }
    }

    /** Writes the row, provided that nobody else has changed it. */
    private void write(long version, boolean renewal) {
        mCallPending = true;
        long sentAt = mNode.millis();
        mNextCall = sentAt + mTermMillis / RENEWALS_PER_TERM;
        byte[] value = Json.bytes(new Holder(instanceName(), ++mRenewals, mEra));
        mStore.write(new Row(TABLE, "", KEY, value, 0, false), version)
                .thenAccept(
                        write -> mNode.control().execute(() -> onWritten(write, sentAt, renewal)));
    }

    /**
     * Evaluates the result of a write.
     *
     * @param sentAt when the write was sent, milliseconds
     */
    private void onWritten(WriteResult write, long sentAt, boolean renewal) {
        mCallPending = false;
        if (write.outcome() == Outcome.WRITTEN) {
            mVersion = write.version();
            mVersionSince = mNode.millis();
            mValidUntil = sentAt + mTermMillis;
            if (!renewal || mToken == 0) {
                mToken = write.version();
                LOGGER.info(
                        "role lease acquired token={} ordersInMillis={}",
                        mToken,
                        mMayOrderFrom - mNode.millis());
            }
        } else if (write.outcome() == Outcome.CONFLICT || write.outcome() == Outcome.OUTDATED) {
            if (mToken != 0) {
                LOGGER.warn("role lease lost token={} rowVersion={}", mToken, write.version());
            }
            mToken = 0;
            mRead = false;
        }
    }

    /**
     * Decodes the row.
     *
     * @return the content; empty if another writer left it unreadable, in which case it is waited
     *     out like the row of another holder
     */
    private Optional<Holder> holder(Row row) {
        return mDecoder.decode(row, each -> Json.read(each.value(), Holder.class));
    }

    /** Returns whether the row names this instance and does not come from a restored copy. */
    private boolean isOwn(Holder holder) {
        return holder.holder().equals(instanceName()) && holder.era() == mEra;
    }

    private String instanceName() {
        return mNode.incarnation().instance().value();
    }
}

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
 * The lease of the one router that orders engines: a row that its holder renews. Confined to the
 * control thread. Invariants: a router believes that it holds the lease only until one term after
 * it sent the last renewal that was acknowledged, on the monotonic clock; another takes it only
 * after the row has not changed for a term and a margin, and then orders nothing for one more term,
 * since engines do not check who orders; the fencing token is the row's version at the acquisition,
 * so it rises, also where the store comes back from a copy. A router that finds its own row in a
 * copy waits like any other.
 */
final class RoleLease {

    /** The table. */
    private static final String TABLE = "troutpier_leases";

    /** The row's key. */
    private static final String KEY = "engine-roles";

    /** How often a holder renews within a term. */
    private static final int RENEWALS = 3;

    /** How much longer than a term the row must rest before it is taken over, milliseconds. */
    private static final long MARGIN_MILLIS = 1000;

    /** How often a router that does not hold the lease looks at the row, milliseconds. */
    private static final long LOOK_MILLIS = 1500;

    /** Logs gain and loss. */
    private static final Logger LOGGER = LogManager.getLogger(RoleLease.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The store. */
    private final RowStore mStore;

    /** Tells of rows that cannot be read. */
    private final RowDecoder mFaults;

    /** How long the lease lasts without renewal, milliseconds. */
    private final long mTermMillis;

    /** The row's version as it was seen last; 0 for no row. */
    private long mVersion;

    /** When that version was first seen, milliseconds. */
    private long mSeenAt;

    /** Whether the row was read at least once. */
    private boolean mSeen;

    /** The fencing token; 0 while the lease is not held. */
    private long mToken;

    /** Until when the lease is held, milliseconds. */
    private long mValidUntil;

    /** From when orders may be given, milliseconds. */
    private long mOrdersFrom;

    /** When a call is due, milliseconds. */
    private long mNextCall;

    /** Whether a call is under way. */
    private boolean mCalling;

    /** The store's era when the row was read last. */
    private long mEra;

    /** Counts renewals, so that each changes the row. */
    private long mRenewals;

    /**
     * What the row says.
     *
     * @param holder the instance that holds the lease
     * @param renewals counts its renewals
     * @param era the store's era when it was written, as far as its writer knew; a row of an era
     *     before is from a copy, and another may have held the lease since
     */
    record Holder(String holder, long renewals, long era) {}

    /**
     * Creates a lease that is not held.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param store the store
     * @param termMillis how long the lease lasts without renewal, milliseconds
     */
    RoleLease(Node node, RowStore store, long termMillis) {
        mFaults = new RowDecoder(node.metrics(), node::millis);
        mNode = node;
        mStore = store;
        mTermMillis = termMillis;
    }

    /**
     * Returns whether this router holds the lease.
     *
     * @return whether it does
     */
    boolean held() {
        return mToken != 0 && mNode.millis() < mValidUntil;
    }

    /**
     * Returns whether this router may give orders.
     *
     * @return whether it holds the lease and has waited out the one before it
     */
    boolean mayOrder() {
        return held() && mNode.millis() >= mOrdersFrom;
    }

    /**
     * Returns the right to order.
     *
     * @return the right; only to be used while {@link #mayOrder()}
     */
    EngineRoleClient.LeaseGrant right() {
        return new EngineRoleClient.LeaseGrant(instance(), mToken);
    }

    /**
     * Renews the lease, or tries to get it.
     *
     * @param otherHolds whether another router said lately that it holds the lease
     * @param contends whether this router tries to get it; one that holds it keeps it all the same
     */
    void tick(boolean otherHolds, boolean contends) {
        if (mToken != 0 && !held()) {
            LOGGER.warn("role lease lapsed token={}", mToken);
            mToken = 0;
        }
        if (mCalling || mNode.millis() < mNextCall) {
            return;
        }
        if (held()) {
            write(mVersion, true);
        } else if (contends && (!otherHolds || !mSeen)) {
            look();
        }
    }

    /** Reads the row. */
    private void look() {
        mCalling = true;
        mNextCall = mNode.millis() + LOOK_MILLIS;
        mStore.read(TABLE, "")
                .whenComplete(
                        (page, failure) -> mNode.control().execute(() -> looked(page, failure)));
    }

    /**
     * Takes the row.
     *
     * @param page what was read, or null
     * @param failure why nothing was read, or null
     */
    private void looked(RowPage page, Throwable failure) {
        mCalling = false;
        if (failure != null) {
            mSeen = false;
            return;
        }
        List<Row> rows = page.rows().stream().filter(row -> row.key().equals(KEY)).toList();
        long version = rows.isEmpty() ? 0 : rows.get(0).version();
        if (!mSeen || version != mVersion) {
            mSeen = true;
            mVersion = version;
            mSeenAt = mNode.millis();
        }
        mEra = StoreVersion.era(page.version());
        boolean own = !rows.isEmpty() && holder(rows.get(0)).filter(this::own).isPresent();
        boolean rested = mNode.millis() - mSeenAt >= mTermMillis + MARGIN_MILLIS;
        if (version == 0 || own || rested) {
            mOrdersFrom = own ? mNode.millis() : mNode.millis() + mTermMillis;
            write(version, false);
        }
    }

    /**
     * Writes the row on the condition that nobody else did.
     *
     * @param version the version that it must have
     * @param renewal whether the lease is held already
     */
    private void write(long version, boolean renewal) {
        mCalling = true;
        long sentAt = mNode.millis();
        mNextCall = sentAt + mTermMillis / RENEWALS;
        byte[] value = Json.bytes(new Holder(instance(), ++mRenewals, mEra));
        mStore.write(new Row(TABLE, "", KEY, value, 0, false), version)
                .thenAccept(
                        write -> mNode.control().execute(() -> written(write, sentAt, renewal)));
    }

    /**
     * Takes what is known of a write.
     *
     * @param write what is known
     * @param sentAt when it was sent, milliseconds
     * @param renewal whether the lease was held already
     */
    private void written(WriteResult write, long sentAt, boolean renewal) {
        mCalling = false;
        if (write.outcome() == Outcome.WRITTEN) {
            mVersion = write.version();
            mSeenAt = mNode.millis();
            mValidUntil = sentAt + mTermMillis;
            if (!renewal || mToken == 0) {
                mToken = write.version();
                LOGGER.info(
                        "role lease acquired token={} ordersInMillis={}",
                        mToken,
                        mOrdersFrom - mNode.millis());
            }
        } else if (write.outcome() == Outcome.CONFLICT || write.outcome() == Outcome.OUTDATED) {
            if (mToken != 0) {
                LOGGER.warn("role lease lost token={} rowVersion={}", mToken, write.version());
            }
            mToken = 0;
            mSeen = false;
        }
    }

    /**
     * Reads who holds the lease.
     *
     * @param row the row
     * @return the holder; empty for a row that another writer left, which is waited out like
     *     another holder's
     */
    private Optional<Holder> holder(Row row) {
        return mFaults.decode(row, each -> Json.read(each.value(), Holder.class));
    }

    /**
     * Returns whether this instance holds the lease by its row.
     *
     * @param holder what the row holds
     * @return whether it names this instance and was not brought back by a copy
     */
    private boolean own(Holder holder) {
        return holder.holder().equals(instance()) && holder.era() == mEra;
    }

    /**
     * Returns this instance's name.
     *
     * @return the name
     */
    private String instance() {
        return mNode.incarnation().instance().value();
    }
}

package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.TableFollower;

/**
 * Tables that routers read for each other: the hall's reader shares its pages, and a router that
 * the store does not answer asks one that it may answer. Without the asking, a router that the
 * store left unanswered for twelve seconds sent work to an upstream that had left for as long,
 * though it heard all seven others, which knew within half a second. Confined to the control
 * thread. Invariant: what is told is as old as the teller says, so that two routers which are both
 * unanswered do not keep an old table alive between them.
 */
public final class TableExchange {

    /** The router's hall. */
    private final HallId mHall;

    /** Connections to the others. */
    private final PeerLinks mLinks;

    /** To whom this router tells what. */
    private final Supplier<RelayPlan> mPlan;

    /** The routers that report to this one. */
    private final Supplier<Set<Incarnation>> mLocals;

    /** The followers by table. */
    private final Map<String, TableFollower> mFollowers = new HashMap<>();

    /** How many times another router was asked: each time the next one is. */
    private int mAsked;

    /**
     * Creates an exchange.
     *
     * @param hall the router's hall
     * @param links connections to the others
     * @param plan to whom this router tells what; asked each time
     * @param locals the routers that report to this one; asked each time
     */
    TableExchange(
            HallId hall,
            PeerLinks links,
            Supplier<RelayPlan> plan,
            Supplier<Set<Incarnation>> locals) {
        mHall = hall;
        mLinks = links;
        mPlan = plan;
        mLocals = locals;
    }

    /**
     * Sets who follows a table.
     *
     * @param table the table
     * @param follower takes pages and tells the table
     */
    void follow(String table, TableFollower follower) {
        mFollowers.put(table, follower);
    }

    /**
     * Shares pages of a table, without asking for it. Confined to the control thread.
     *
     * @param exchange the exchange
     * @param table the table
     */
    public record ForPages(TableExchange exchange, String table)
            implements TableFollower.ChangePublisher {

        /** {@inheritDoc} */
        @Override
        public void publish(long after, long version, long unbrokenMillis, List<Row> rows) {
            exchange.share(new SharedPage(table, after, version, unbrokenMillis, rows));
        }

        /**
         * Starts to follow the table, by calls to the store and by what other routers tell of it.
         *
         * @param node the router's identity, threads, clock and metrics
         * @param store the store
         * @param pace how the table is followed
         * @param listener receives what is read, on the control thread
         * @param sharer shares what is read
         * @return what follows it
         */
        public TableFollower follow(
                Node node,
                RowStore store,
                TableFollower.PollTiming pace,
                TableFollower.Listener listener,
                TableFollower.ChangePublisher sharer) {
            TableFollower follower =
                    new TableFollower(
                            node.control(), store, table, pace, listener, sharer, node::millis);
            exchange.follow(table, follower);
            follower.start();
            return follower;
        }
    }

    /**
     * Shares pages of a table and asks for it. Confined to the control thread.
     *
     * @param pages shares the pages
     */
    public record ForWholeTable(ForPages pages) implements TableFollower.ChangePublisher {

        /** {@inheritDoc} */
        @Override
        public void publish(long after, long version, long unbrokenMillis, List<Row> rows) {
            pages.publish(after, version, unbrokenMillis, rows);
        }

        /** {@inheritDoc} */
        @Override
        public void requestTable(long version) {
            pages.exchange().ask(pages.table(), version);
        }
    }

    /**
     * Shares a page with the others of this hall, if this router reads for them.
     *
     * @param page the page
     */
    private void share(SharedPage page) {
        if (mPlan.get().reader()) {
            mLinks.sendAll(hallMates(), new PeerMessage.Page(page));
        }
    }

    /**
     * Returns the others of this hall.
     *
     * @return all that are known where routers tell each other directly; those that report to this
     *     one where it relays
     */
    private Set<Incarnation> hallMates() {
        if (!mPlan.get().direct()) {
            return mLocals.get();
        }
        List<Member> mates = new ArrayList<>(mPlan.get().wanted());
        mates.removeIf(member -> !member.hall().equals(mHall));
        return LoadRelay.incarnations(mates);
    }

    /**
     * Asks another router for a table: each time the next of those that are connected, since some
     * may be unanswered too.
     *
     * @param table the table
     * @param version the newest version that this router knows
     */
    private void ask(String table, long version) {
        List<Incarnation> connected = new ArrayList<>();
        for (Member member : mPlan.get().wanted()) {
            if (mLinks.isConnected(member.incarnation())) {
                connected.add(member.incarnation());
            }
        }
        if (!connected.isEmpty()) {
            Incarnation next = connected.get(mAsked++ % connected.size());
            mLinks.send(next, new PeerMessage.TableAsked(table, version));
        }
    }

    /**
     * Takes a page.
     *
     * @param page the page
     */
    void heard(SharedPage page) {
        TableFollower follower = mFollowers.get(page.table());
        if (follower != null) {
            follower.applyShared(page.after(), page.version(), page.unbrokenMillis(), page.rows());
        }
    }

    /**
     * Tells a router that asked, if this one knows the table well enough.
     *
     * @param from who asked
     * @param asked what it asked for
     */
    void heard(Incarnation from, PeerMessage.TableAsked asked) {
        TableFollower follower = mFollowers.get(asked.table());
        if (follower != null) {
            follower.stateSince(asked.version())
                    .map(state -> new PeerMessage.TableTold(asked.table(), state))
                    .ifPresent(told -> mLinks.send(from, told));
        }
    }

    /**
     * Takes a table that another router told.
     *
     * @param told the table
     */
    void heard(PeerMessage.TableTold told) {
        TableFollower follower = mFollowers.get(told.table());
        if (follower != null) {
            follower.applyPeerState(told.state());
        }
    }
}

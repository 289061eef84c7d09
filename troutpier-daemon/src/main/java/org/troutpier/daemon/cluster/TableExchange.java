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
 * Shares the store's tables between routers: the table reader of each hall publishes its pages, and
 * a router that the store does not answer requests the table from another. Without these requests,
 * a router that got no answer for twelve seconds kept sending work to an upstream that had left,
 * although it was connected to seven routers that had known within half a second. Confined to the
 * control thread. Invariant: a table's age is sent with it, so that two routers without an answer
 * cannot keep an old table alive by sending it to each other.
 */
public final class TableExchange {

    private final HallId mHall;

    private final PeerLinks mLinks;

    private final Supplier<RelayPlan> mPlan;

    private final Supplier<Set<Incarnation>> mGroupMembers;

    private final Map<String, TableFollower> mFollowers = new HashMap<>();

    /** Number of table requests sent; selects the next router to ask. */
    private int mRequestCount;

    /**
     * Creates an exchange.
     *
     * @param hall the router's hall
     * @param plan supplies the current plan
     * @param groupMembers supplies the routers that report to this one
     */
    TableExchange(
            HallId hall,
            PeerLinks links,
            Supplier<RelayPlan> plan,
            Supplier<Set<Incarnation>> groupMembers) {
        mHall = hall;
        mLinks = links;
        mPlan = plan;
        mGroupMembers = groupMembers;
    }

    void register(String table, TableFollower follower) {
        mFollowers.put(table, follower);
    }

    /**
     * Publishes pages of a table, without requesting it from others. Confined to the control
     * thread.
     *
     * @param exchange the exchange
     * @param table the table
     */
    public record ForPages(TableExchange exchange, String table)
            implements TableFollower.ChangePublisher {

        /** {@inheritDoc} */
        @Override
        public void publish(long after, long version, long unbrokenMillis, List<Row> rows) {
            exchange.publish(new SharedPage(table, after, version, unbrokenMillis, rows));
        }

        /**
         * Starts to follow the table, by calls to the store and by pages of other routers.
         *
         * @param timing the timing of the calls
         * @param listener receives what is read, on the control thread
         * @param publisher publishes what is read
         */
        public TableFollower follow(
                Node node,
                RowStore store,
                TableFollower.PollTiming timing,
                TableFollower.Listener listener,
                TableFollower.ChangePublisher publisher) {
            TableFollower follower =
                    new TableFollower(
                            node.control(),
                            store,
                            table,
                            timing,
                            listener,
                            publisher,
                            node::millis);
            exchange.register(table, follower);
            follower.start();
            return follower;
        }
    }

    /**
     * Publishes pages of a table and requests it from others. Confined to the control thread.
     *
     * @param pages publishes the pages
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
            pages.exchange().requestTable(pages.table(), version);
        }
    }

    /** Publishes a page to the other routers of this hall, if this router is its table reader. */
    private void publish(SharedPage page) {
        if (mPlan.get().tableReader()) {
            mLinks.sendAll(hallPeers(), new PeerMessage.Page(page));
        }
    }

    /**
     * Returns the other routers of this hall.
     *
     * @return all known ones where routers report to each other directly, else those that report to
     *     this relay
     */
    private Set<Incarnation> hallPeers() {
        if (!mPlan.get().direct()) {
            return mGroupMembers.get();
        }
        List<Member> peers = new ArrayList<>(mPlan.get().connectionTargets());
        peers.removeIf(member -> !member.hall().equals(mHall));
        return LoadRelay.incarnations(peers);
    }

    /**
     * Requests a table from another router. Each request goes to the next connected router, since
     * some may get no answer from the store either.
     *
     * @param version the newest version that this router knows
     */
    private void requestTable(String table, long version) {
        List<Incarnation> connected = new ArrayList<>();
        for (Member member : mPlan.get().connectionTargets()) {
            if (mLinks.isConnected(member.incarnation())) {
                connected.add(member.incarnation());
            }
        }
        if (!connected.isEmpty()) {
            Incarnation next = connected.get(mRequestCount++ % connected.size());
            mLinks.send(next, new PeerMessage.TableAsked(table, version));
        }
    }

    void onPage(SharedPage page) {
        TableFollower follower = mFollowers.get(page.table());
        if (follower != null) {
            follower.applyShared(page.after(), page.version(), page.unbrokenMillis(), page.rows());
        }
    }

    /** Answers a request for a table, if this router knows the table well enough. */
    void onTableRequest(Incarnation from, PeerMessage.TableAsked request) {
        TableFollower follower = mFollowers.get(request.table());
        if (follower != null) {
            follower.stateSince(request.version())
                    .map(state -> new PeerMessage.TableTold(request.table(), state))
                    .ifPresent(answer -> mLinks.send(from, answer));
        }
    }

    void onTableState(PeerMessage.TableTold state) {
        TableFollower follower = mFollowers.get(state.table());
        if (follower != null) {
            follower.applyPeerState(state.state());
        }
    }
}

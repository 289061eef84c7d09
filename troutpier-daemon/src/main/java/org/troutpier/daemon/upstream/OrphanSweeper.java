package org.troutpier.daemon.upstream;

import java.util.ArrayList;
import java.util.List;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.CoordinatorSelector;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;
import org.troutpier.daemon.request.ExchangeRegistry;

/**
 * Cancels attempts that engines hold for routers that are gone, or for requests that this router no
 * longer carries. Each engine is swept by its coordinator; sweeping by two routers at once is
 * harmless. Confined to the control thread.
 */
public final class OrphanSweeper {

    private static final long SWEEP_MILLIS = 1000;

    private final Node mNode;

    private final UpstreamRegistry mUpstreamRegistry;

    private final EngineClient mEngineClient;

    private final Membership mMembership;

    private final CancellationRetrier mCancellations;

    private final ExchangeRegistry mRegistry;

    /**
     * Creates and starts a sweeper.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param upstreamRegistry all upstreams
     * @param engines queries the engines
     * @param membership knows which routers are gone
     * @param cancellations cancels attempts
     * @param registry the requests that this router carries
     */
    public OrphanSweeper(
            Node node,
            UpstreamRegistry upstreamRegistry,
            EngineClient engines,
            Membership membership,
            CancellationRetrier cancellations,
            ExchangeRegistry registry) {
        mNode = node;
        mUpstreamRegistry = upstreamRegistry;
        mEngineClient = engines;
        mMembership = membership;
        mCancellations = cancellations;
        mRegistry = registry;
        node.control().scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS);
    }

    /** Sweeps the engines that this router coordinates. */
    private void sweep() {
        List<Membership.Member> members = mMembership.live();
        for (UpstreamState state : new ArrayList<>(mUpstreamRegistry.all())) {
            UpstreamDeclaration declaration = state.declaration();
            boolean coordinated =
                    CoordinatorSelector.select("sweep " + declaration.id(), members)
                            .equals(mNode.incarnation());
            if (declaration.role() != Role.SERVICE && coordinated) {
                mEngineClient
                        .heldAttempts(declaration)
                        .thenAccept(
                                held ->
                                        mNode.control()
                                                .execute(() -> cancelOrphans(declaration, held)));
            }
        }
    }

    /** Cancels the orphans among the attempts that an engine holds. */
    private void cancelOrphans(UpstreamDeclaration engine, List<EngineClient.HeldAttempt> held) {
        for (EngineClient.HeldAttempt one : held) {
            if (isOrphan(one) && !mCancellations.isCancelling(engine.id(), one.attempt())) {
                mNode.count("orphans.cancelled");
                mNode.events().record("orphan", one.attempt(), engine.id() + " " + one.owner());
                mCancellations.cancel(engine, one.attempt());
            }
        }
    }

    /**
     * Returns whether an attempt has no router that waits for it: its owner is gone, or is this
     * router and no longer carries the request.
     */
    private boolean isOrphan(EngineClient.HeldAttempt held) {
        if (held.owner().equals(mNode.incarnation().value())) {
            return !mRegistry.containsAttempt(held.attempt());
        }
        boolean ownedByRouter = held.owner().indexOf('~') > 0;
        return ownedByRouter && mMembership.isGone(new Incarnation(held.owner()));
    }
}

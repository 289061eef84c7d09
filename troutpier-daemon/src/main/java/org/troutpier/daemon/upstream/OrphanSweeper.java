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
 * Cancels what engines hold for routers that are gone, and for requests that this router no longer
 * carries. Confined to the control thread. Each engine is swept by its coordinator; two that both
 * think they are it do no harm.
 */
public final class OrphanSweeper {

    /** How often engines are swept, milliseconds. */
    private static final long SWEEP_MILLIS = 1000;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** All upstreams. */
    private final UpstreamRegistry mUpstreamRegistry;

    /** The engines. */
    private final EngineClient mEngines;

    /** Who is gone. */
    private final Membership mMembership;

    /** Cancels attempts. */
    private final CancellationRetrier mCancels;

    /** The requests that this router carries. */
    private final ExchangeRegistry mRegistry;

    /**
     * Creates and starts a sweeper.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param upstreamRegistry all upstreams
     * @param engines the engines
     * @param membership who is gone
     * @param cancels cancels attempts
     * @param registry the requests that this router carries
     */
    public OrphanSweeper(
            Node node,
            UpstreamRegistry upstreamRegistry,
            EngineClient engines,
            Membership membership,
            CancellationRetrier cancels,
            ExchangeRegistry registry) {
        mNode = node;
        mUpstreamRegistry = upstreamRegistry;
        mEngines = engines;
        mMembership = membership;
        mCancels = cancels;
        mRegistry = registry;
        node.control().scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS);
    }

    /** Sweeps the engines that this router looks after. */
    private void sweep() {
        List<Membership.Member> members = mMembership.live();
        for (UpstreamState state : new ArrayList<>(mUpstreamRegistry.all())) {
            UpstreamDeclaration declared = state.declared();
            boolean mine =
                    CoordinatorSelector.select("sweep " + declared.id(), members)
                            .equals(mNode.incarnation());
            if (declared.role() != Role.SERVICE && mine) {
                mEngines.heldAttempts(declared)
                        .thenAccept(held -> mNode.control().execute(() -> examine(declared, held)));
            }
        }
    }

    /**
     * Cancels the orphans among what an engine holds.
     *
     * @param engine the engine
     * @param held what it holds
     */
    private void examine(UpstreamDeclaration engine, List<EngineClient.HeldAttempt> held) {
        for (EngineClient.HeldAttempt one : held) {
            if (orphan(one) && !mCancels.isCancelling(engine.id(), one.attempt())) {
                mNode.count("orphans.cancelled");
                mNode.events().record("orphan", one.attempt(), engine.id() + " " + one.owner());
                mCancels.cancel(engine, one.attempt());
            }
        }
    }

    /**
     * Returns whether nobody waits for an attempt any more.
     *
     * @param held the attempt
     * @return whether its router is gone, or is this one and no longer carries the request
     */
    private boolean orphan(EngineClient.HeldAttempt held) {
        if (held.owner().equals(mNode.incarnation().value())) {
            return !mRegistry.carries(held.attempt());
        }
        boolean router = held.owner().indexOf('~') > 0;
        return router && mMembership.isGone(new Incarnation(held.owner()));
    }
}

package org.troutpier.daemon.cluster;

import java.util.function.Supplier;
import org.troutpier.common.id.HallId;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.serving.EngineUsageReconciler;

/**
 * The engines whose usage a router polls: all where routers report to each other directly, those of
 * its hall at a relay, none at other routers. Thread safe if its components are.
 *
 * @param plan returns the current plan
 * @param hall the router's hall
 */
record EngineQueryScope(Supplier<RelayPlan> plan, HallId hall)
        implements EngineUsageReconciler.Scope {

    /** {@inheritDoc} */
    @Override
    public boolean polls(UpstreamEntry engine) {
        RelayPlan current = plan.get();
        return current.direct() || current.isRelay() && engine.hall().equals(hall);
    }

    /** {@inheritDoc} */
    @Override
    public boolean sharesResults() {
        return plan.get().isRelay();
    }
}

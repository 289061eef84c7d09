package org.troutpier.daemon.role;

import java.util.concurrent.CompletableFuture;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;

/** Orders engines to change their role. Implementations are thread safe. */
public interface EngineRoleClient {

    /**
     * Asks an engine how it stands.
     *
     * @param engine the engine
     * @return its report; fails where there is none
     */
    CompletableFuture<EngineReport> report(UpstreamEntry engine);

    /**
     * Orders an engine to change its role.
     *
     * @param engine the engine
     * @param role what it is to do
     * @param lease who orders, with which right
     * @param expectedOrders how many orders it must have taken, so that a late order is void
     * @return what is known of the order; never fails
     */
    CompletableFuture<Outcome> changeRole(
            UpstreamEntry engine, UpstreamEntry.Role role, LeaseGrant lease, long expectedOrders);

    /**
     * The right to order. Immutable and thread safe.
     *
     * @param holder the instance that holds the lease
     * @param fencingToken rises with every holder
     */
    record LeaseGrant(String holder, long fencingToken) {}

    /**
     * How an engine stands. Immutable and thread safe.
     *
     * @param incarnation which start of the engine reports; as far as it says so
     * @param role what it does
     * @param changing whether an order is being carried out
     * @param orders how many orders it has taken
     * @param usedTokens how much memory its runs took, a while ago
     */
    record EngineReport(
            UpstreamIncarnation incarnation,
            UpstreamEntry.Role role,
            boolean changing,
            long orders,
            long usedTokens) {}

    /** What is known of an order. */
    enum Outcome {
        /** It is being carried out. */
        TAKEN,
        /** The engine has the role already. */
        ALREADY,
        /** It was refused and has no effect. */
        REFUSED,
        /** It may have been taken, or may be taken later. */
        UNKNOWN
    }
}

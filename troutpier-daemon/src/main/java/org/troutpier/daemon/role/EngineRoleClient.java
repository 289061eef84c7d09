package org.troutpier.daemon.role;

import java.util.concurrent.CompletableFuture;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Client that reads the status of engines and orders role changes. Implementations are thread safe.
 */
public interface EngineRoleClient {

    /**
     * Requests the status of an engine.
     *
     * @return its report; fails if there is none
     */
    CompletableFuture<EngineReport> report(UpstreamEntry engine);

    /**
     * Orders an engine to change its role.
     *
     * @param expectedOrders the number of orders that the engine must have accepted before, so that
     *     a delayed order has no effect
     * @return the outcome; never completes exceptionally
     */
    CompletableFuture<Outcome> changeRole(
            UpstreamEntry engine, UpstreamEntry.Role role, LeaseGrant lease, long expectedOrders);

    /**
     * Proof that a router holds the lease. Immutable and thread safe.
     *
     * @param holder the instance that holds the lease
     * @param fencingToken a token that increases with each holder
     */
    record LeaseGrant(String holder, long fencingToken) {}

    /**
     * Status of an engine. Immutable and thread safe.
     *
     * @param incarnation the incarnation that reports, as far as the engine states it
     * @param role the current role
     * @param changing whether a role change is in progress
     * @param orders the number of orders accepted so far
     * @param usedTokens the memory used by its runs a short time ago
     */
    record EngineReport(
            UpstreamIncarnation incarnation,
            UpstreamEntry.Role role,
            boolean changing,
            long orders,
            long usedTokens) {}

    /** Outcome of an order. */
    enum Outcome {
        /** The change is in progress. */
        TAKEN,
        /** The engine has the role already. */
        ALREADY,
        /** The order was refused and has no effect. */
        REFUSED,
        /** The order may have been accepted, or may be accepted later. */
        UNKNOWN
    }
}

package org.troutpier.daemon.serving;

import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.role.EngineRoleClient;

/**
 * Client that sends no request to engines in a back-off. Thread safe if both components are.
 *
 * @param client the delegate
 * @param backOffMillis returns the remaining back-off of an engine, milliseconds
 */
public record BackOffAwareRoleClient(
        EngineRoleClient client, ToLongFunction<UpstreamEntry> backOffMillis)
        implements EngineRoleClient {

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<EngineReport> report(UpstreamEntry engine) {
        long remaining = backOffMillis.applyAsLong(engine);
        if (remaining > 0) {
            return CompletableFuture.failedFuture(
                    new TroutpierException(
                            ResultCode.UPSTREAM_RATE,
                            engine.id() + " asked for a back-off of " + remaining + " ms"));
        }
        return client.report(engine);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Outcome> changeRole(
            UpstreamEntry engine, UpstreamEntry.Role role, LeaseGrant lease, long expectedOrders) {
        return backOffMillis.applyAsLong(engine) > 0
                ? CompletableFuture.completedFuture(Outcome.REFUSED)
                : client.changeRole(engine, role, lease, expectedOrders);
    }
}

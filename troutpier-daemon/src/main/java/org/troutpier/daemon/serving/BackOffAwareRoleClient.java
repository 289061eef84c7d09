package org.troutpier.daemon.serving;

import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.role.EngineRoleClient;

/**
 * Orders engines and asks for their reports, except those that have asked for a back-off. Thread
 * safe if both parts are.
 *
 * @param client forwards calls to the engines
 * @param backOffMillis returns for how long an engine wants no call, milliseconds
 */
public record BackOffAwareRoleClient(
        EngineRoleClient client, ToLongFunction<UpstreamEntry> backOffMillis)
        implements EngineRoleClient {

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<EngineReport> report(UpstreamEntry engine) {
        long left = backOffMillis.applyAsLong(engine);
        if (left > 0) {
            return CompletableFuture.failedFuture(
                    new TroutpierException(
                            ResultCode.UPSTREAM_RATE,
                            engine.id() + " asked for a back-off of " + left + " ms"));
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

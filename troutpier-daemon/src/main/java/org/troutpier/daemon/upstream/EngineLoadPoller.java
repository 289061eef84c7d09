package org.troutpier.daemon.upstream;

import java.util.ArrayList;
import java.util.List;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * Polls the load and the cache events that engines publish. Confined to the control thread. An
 * engine that does not answer several times in a row gets no work for a while.
 */
public final class EngineLoadPoller {

    private static final long POLL_MILLIS = 250;

    private final Node mNode;

    private final UpstreamRegistry mUpstreamRegistry;

    private final EngineClient mEngineClient;

    /**
     * Creates and starts a poller.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry all upstreams
     * @param engines polls the engines
     */
    public EngineLoadPoller(Node node, UpstreamRegistry registry, EngineClient engines) {
        mNode = node;
        mUpstreamRegistry = registry;
        mEngineClient = engines;
        node.control().scheduleWithFixedDelay(this::poll, POLL_MILLIS);
    }

    private void poll() {
        for (UpstreamState state : new ArrayList<>(mUpstreamRegistry.all())) {
            UpstreamDeclaration declaration = state.declaration();
            if (declaration.role() == Role.SERVICE) {
                continue;
            }
            mEngineClient
                    .load(declaration)
                    .whenComplete(
                            (load, failure) ->
                                    mNode.control().execute(() -> onLoad(declaration.id(), load)));
            if (declaration.role() == Role.PREFILL) {
                mEngineClient
                        .cacheEvents(declaration, state.lastEventNumber())
                        .thenAccept(
                                events ->
                                        mNode.control()
                                                .execute(
                                                        () ->
                                                                onCacheEvents(
                                                                        declaration.id(), events)));
            }
        }
    }

    /**
     * Records the answer to a load query.
     *
     * @param id the engine
     * @param load its load, or null if it did not answer
     */
    private void onLoad(UpstreamId id, EngineClient.Load load) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state == null) {
            return;
        }
        if (load == null) {
            state.recordMissedReport(mNode.nanos().getAsLong());
            mNode.count("upstream.silent");
            return;
        }
        state.recordLoad(load.running(), load.waitingTokens());
        if (state.isLeaving() != load.leaving()) {
            mNode.events().record("upstream-leaving", id.value(), "" + load.leaving());
        }
        state.setLeaving(load.leaving());
    }

    private void onCacheEvents(UpstreamId id, List<EngineClient.CacheEvent> events) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state == null) {
            return;
        }
        for (EngineClient.CacheEvent event : events) {
            state.addCachedBlock(event.block());
            state.setLastEventNumber(Math.max(state.lastEventNumber(), event.number()));
        }
    }
}

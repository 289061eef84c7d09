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
 * Asks the engines for the load and the cache events that they publish. Confined to the control
 * thread. An engine that does not answer is passed over for a while.
 */
public final class EngineLoadPoller {

    /** How often engines are asked, milliseconds. */
    private static final long ASK_MILLIS = 250;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** All upstreams. */
    private final UpstreamRegistry mUpstreamRegistry;

    /** The engines. */
    private final EngineClient mEngines;

    /**
     * Creates and starts a watcher.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry all upstreams
     * @param engines the engines
     */
    public EngineLoadPoller(Node node, UpstreamRegistry registry, EngineClient engines) {
        mNode = node;
        mUpstreamRegistry = registry;
        mEngines = engines;
        node.control().scheduleWithFixedDelay(this::ask, ASK_MILLIS);
    }

    /** Asks every engine once. */
    private void ask() {
        for (UpstreamState state : new ArrayList<>(mUpstreamRegistry.all())) {
            UpstreamDeclaration declared = state.declared();
            if (declared.role() == Role.SERVICE) {
                continue;
            }
            mEngines.load(declared)
                    .whenComplete(
                            (load, failure) ->
                                    mNode.control().execute(() -> heard(declared.id(), load)));
            if (declared.role() == Role.PREFILL) {
                mEngines.cacheEvents(declared, state.lastEvent())
                        .thenAccept(
                                events ->
                                        mNode.control()
                                                .execute(() -> cached(declared.id(), events)));
            }
        }
    }

    /**
     * Takes a load or a silence.
     *
     * @param id the engine
     * @param load its load, or null where it did not answer
     */
    private void heard(UpstreamId id, EngineClient.Load load) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state == null) {
            return;
        }
        if (load == null) {
            state.silent(mNode.nanos().getAsLong());
            mNode.count("upstream.silent");
            return;
        }
        state.published(load.running(), load.waitingTokens());
        if (state.isLeaving() != load.leaving()) {
            mNode.events().record("upstream-leaving", id.value(), "" + load.leaving());
        }
        state.leaving(load.leaving());
    }

    /**
     * Takes cache events.
     *
     * @param id the engine
     * @param events its events
     */
    private void cached(UpstreamId id, List<EngineClient.CacheEvent> events) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state == null) {
            return;
        }
        for (EngineClient.CacheEvent event : events) {
            state.cached(event.block());
            state.lastEvent(Math.max(state.lastEvent(), event.number()));
        }
    }
}

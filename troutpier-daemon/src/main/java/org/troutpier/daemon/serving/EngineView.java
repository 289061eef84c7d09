package org.troutpier.daemon.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.waiting.RoomFinder;

/** What this router knows of the engines. Confined to the traffic loop. */
final class EngineView implements RoomFinder.EngineLoads {

    private final UpstreamLoads mLoads;

    /** Until when each engine is assumed to be full, milliseconds on the loop's clock. */
    private final Map<UpstreamIncarnation, Long> mFullUntil = new HashMap<>();

    EngineView(UpstreamLoads loads) {
        mLoads = loads;
    }

    void recordFull(UpstreamEntry engine, long untilMillis) {
        mFullUntil.put(engine.incarnation(), untilMillis);
    }

    /** Discards the state of engines that are no longer listed. */
    void retain(Set<UpstreamIncarnation> listed) {
        mFullUntil.keySet().retainAll(listed);
    }

    /** {@inheritDoc} */
    @Override
    public boolean knowsOthers() {
        return mLoads.hasPeerReports();
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFull(UpstreamEntry engine, long now) {
        return mFullUntil.getOrDefault(engine.incarnation(), now) > now;
    }

    /** {@inheritDoc} */
    @Override
    public long tokens(UpstreamEntry engine) {
        return mLoads.tokens(engine);
    }

    /** {@inheritDoc} */
    @Override
    public int calls(UpstreamEntry engine) {
        return mLoads.calls(engine);
    }
}

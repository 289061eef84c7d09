package org.troutpier.daemon.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.UpstreamId;

/** The declared upstreams and their state. Confined to the control thread. */
public final class UpstreamRegistry {

    /** States by id, in order of declaration. */
    private final Map<UpstreamId, UpstreamState> mStates = new LinkedHashMap<>();

    /** Applies new declarations. Upstreams that remain declared keep their state. */
    public void apply(Declarations declarations) {
        Map<UpstreamId, UpstreamState> next = new LinkedHashMap<>();
        for (UpstreamDeclaration declaration : declarations.upstreams()) {
            UpstreamState state = mStates.get(declaration.id());
            if (state == null) {
                state = new UpstreamState(declaration);
            }
            state.setDeclaration(declaration);
            next.put(declaration.id(), state);
        }
        mStates.clear();
        mStates.putAll(next);
    }

    /** Returns the state of an upstream, or null if it is not declared. */
    public UpstreamState get(UpstreamId id) {
        return mStates.get(id);
    }

    /** Returns the states of all upstreams. */
    public Collection<UpstreamState> all() {
        return mStates.values();
    }

    /**
     * Returns the upstreams that may receive new requests.
     *
     * @param serves the model or service
     * @param role the role
     * @param now time on the monotonic clock
     * @return their states, in order of declaration
     */
    public List<UpstreamState> usable(String serves, Role role, long now) {
        return mStates.values().stream()
                .filter(state -> state.declaration().role() == role)
                .filter(state -> state.declaration().serves().equals(serves))
                .filter(state -> state.isUsable(now))
                .toList();
    }
}

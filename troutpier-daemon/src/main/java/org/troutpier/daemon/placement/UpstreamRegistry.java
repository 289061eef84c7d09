package org.troutpier.daemon.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.UpstreamId;

/** All upstreams and what is known of them. Confined to the control thread. */
public final class UpstreamRegistry {

    /** The upstreams by id, in the order in which they are declared. */
    private final Map<UpstreamId, UpstreamState> mStates = new LinkedHashMap<>();

    /**
     * Takes new declarations; what is known of an upstream stays while it is declared.
     *
     * @param declarations the declarations in force
     */
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

    /**
     * Finds an upstream.
     *
     * @param id the upstream sought
     * @return its state, or null where it is not declared
     */
    public UpstreamState get(UpstreamId id) {
        return mStates.get(id);
    }

    /**
     * Lists all upstreams.
     *
     * @return their states
     */
    public Collection<UpstreamState> all() {
        return mStates.values();
    }

    /**
     * Lists the upstreams that may take new work.
     *
     * @param serves the model or service
     * @param role the role
     * @param now the time
     * @return their states, in the order in which they are declared
     */
    public List<UpstreamState> usable(String serves, Role role, long now) {
        return mStates.values().stream()
                .filter(state -> state.declaration().role() == role)
                .filter(state -> state.declaration().serves().equals(serves))
                .filter(state -> state.isUsable(now))
                .toList();
    }
}

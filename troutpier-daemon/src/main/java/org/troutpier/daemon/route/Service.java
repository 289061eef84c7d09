package org.troutpier.daemon.route;

import java.util.Optional;
import org.troutpier.common.settings.Check;

/**
 * A service behind the routes. Immutable and thread safe.
 *
 * @param maxConnections number of connections that each of its upstreams accepts from all callers
 *     together
 * @param engine properties of its model engines; empty for a plain service
 */
public record Service(String name, int maxConnections, Optional<EngineTraits> engine) {

    /** Validates the components. */
    public Service {
        Check.present("name", name);
        Check.present("engine", engine);
    }
}

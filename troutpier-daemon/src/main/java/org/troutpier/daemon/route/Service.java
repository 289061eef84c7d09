package org.troutpier.daemon.route;

import java.util.Optional;
import org.troutpier.common.settings.Check;

/**
 * A service behind the routes. Immutable and thread safe.
 *
 * @param name its name
 * @param maxConnections how many connections each of its upstreams takes from all callers
 * @param engine what its engines can do; empty for a plain service
 */
public record Service(String name, int maxConnections, Optional<EngineTraits> engine) {

    /** Checks the fields. */
    public Service {
        Check.present("name", name);
        Check.present("engine", engine);
    }
}

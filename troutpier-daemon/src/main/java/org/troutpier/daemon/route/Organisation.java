package org.troutpier.daemon.route;

import java.util.OptionalInt;
import java.util.Set;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A partner as the routing configuration knows it: who may ask in its name, and how much. Immutable
 * and thread safe. It may have no key, and then nobody asks in its name.
 *
 * @param id the partner
 * @param keys the hashes of its callers' keys
 * @param priority the rank of its requests, before their routes' rank; empty for their routes'
 * @param limit what it may use over all routers
 */
public record Organisation(
        PartnerId id, Set<KeyHash> keys, OptionalInt priority, UsageLimit limit) {

    /** Checks the fields and copies the keys. */
    public Organisation {
        Check.present("id", id);
        Check.present("priority", priority);
        Check.present("limit", limit);
        keys = Set.copyOf(keys);
    }
}

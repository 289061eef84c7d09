package org.troutpier.daemon.route;

import java.util.OptionalInt;
import java.util.Set;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A partner in the routing configuration: the keys that authenticate its requests, and its limit.
 * Immutable and thread safe. Without keys, no request can be made on its behalf.
 *
 * @param id the partner
 * @param keys hashes of its callers' API keys
 * @param priority priority of its requests, which overrides that of their routes; empty for no
 *     override
 * @param limit its usage limit across all routers
 */
public record Organisation(
        PartnerId id, Set<KeyHash> keys, OptionalInt priority, UsageLimit limit) {

    /** Validates the components and copies the keys. */
    public Organisation {
        Check.present("id", id);
        Check.present("priority", priority);
        Check.present("limit", limit);
        keys = Set.copyOf(keys);
    }
}

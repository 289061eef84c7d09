package org.troutpier.common.declaration;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;

/**
 * An upstream, its location and its role. Immutable and thread safe.
 *
 * @param id the upstream
 * @param owner the partner whose operators may change it
 * @param role its role
 * @param hall the hall in which it runs
 * @param address where it listens
 * @param serves the model or service that it serves
 * @param slots maximum number of concurrent requests
 * @param prefillTokensPerSecond prefill throughput, tokens per second; initial estimate of the
 *     predictor
 * @param draining whether operators have drained it
 */
public record UpstreamDeclaration(
        UpstreamId id,
        PartnerId owner,
        Role role,
        HallId hall,
        Address address,
        String serves,
        int slots,
        Integer prefillTokensPerSecond,
        boolean draining) {

    private static final int MAX_SLOTS = 10_000;

    /** Default prefill throughput, tokens per second. */
    private static final int DEFAULT_PREFILL_RATE = 20_000;

    /** Upper bound of the prefill throughput, tokens per second. */
    private static final int MAX_PREFILL_RATE = 100_000_000;

    /** Validates the fields and fills in defaults. */
    public UpstreamDeclaration {
        Check.present("id", id);
        Check.present("owner", owner);
        Check.present("role", role);
        Check.present("hall", hall);
        Check.present("address", address);
        Check.present("serves", serves);
        Check.that("serves", !serves.isBlank(), "must not be blank");
        Check.range("slots", slots, 1, MAX_SLOTS);
        prefillTokensPerSecond =
                prefillTokensPerSecond == null ? DEFAULT_PREFILL_RATE : prefillTokensPerSecond;
        Check.range("prefillTokensPerSecond", prefillTokensPerSecond, 1, MAX_PREFILL_RATE);
    }

    /** Returns this upstream with another role. */
    public UpstreamDeclaration withRole(Role newRole) {
        return new UpstreamDeclaration(
                id, owner, newRole, hall, address, serves, slots, prefillTokensPerSecond, draining);
    }

    /**
     * Returns this upstream with another drain state.
     *
     * @param newDraining whether it is taken out of service
     */
    public UpstreamDeclaration withDraining(boolean newDraining) {
        return new UpstreamDeclaration(
                id, owner, role, hall, address, serves, slots, prefillTokensPerSecond, newDraining);
    }
}

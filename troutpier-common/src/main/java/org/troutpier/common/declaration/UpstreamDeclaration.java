package org.troutpier.common.declaration;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;

/**
 * An upstream, its place and its role. Immutable and thread safe.
 *
 * @param id the upstream
 * @param owner the partner whose operators may change it
 * @param role what it does
 * @param hall where it stands
 * @param address where it listens
 * @param serves the model or service that it serves
 * @param slots how many requests it holds at once
 * @param prefillTokensPerSecond how fast it prefills, a first guess for the predictor
 * @param draining whether operators have taken it out of service
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

    /** The most slots an upstream may have. */
    private static final int MAX_SLOTS = 10_000;

    /** The first guess of prefill speed unless said otherwise, tokens a second. */
    private static final int DEFAULT_PREFILL_RATE = 20_000;

    /** The fastest prefill that is believed, tokens a second. */
    private static final int MAX_PREFILL_RATE = 100_000_000;

    /** Checks the fields and fills the defaults. */
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

    /**
     * Returns this upstream with another role.
     *
     * @param newRole the role
     * @return a new declaration
     */
    public UpstreamDeclaration withRole(Role newRole) {
        return new UpstreamDeclaration(
                id, owner, newRole, hall, address, serves, slots, prefillTokensPerSecond, draining);
    }

    /**
     * Returns this upstream in or out of service.
     *
     * @param newDraining whether it is taken out of service
     * @return a new declaration
     */
    public UpstreamDeclaration withDraining(boolean newDraining) {
        return new UpstreamDeclaration(
                id, owner, role, hall, address, serves, slots, prefillTokensPerSecond, newDraining);
    }
}

package org.troutpier.common.id;

/**
 * Version of the software that an upstream runs, as it states it. Versions are compared for
 * equality only; they have no order. Immutable and safe to share between threads.
 *
 * @param value the version's text; empty if the upstream states none
 */
public record SoftwareVersion(String value) {

    /** The version of upstreams that state none. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    /** Maximum length, characters: it occurs in reports between routers. */
    private static final int MAX_LENGTH = 200;

    /** Checks the length. */
    public SoftwareVersion {
        if (value == null || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "software version must have at most " + MAX_LENGTH + " characters: " + value);
        }
    }

    /** Returns whether the upstream states a version. */
    public boolean isStated() {
        return !value.isEmpty();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return isStated() ? value : "unstated";
    }
}

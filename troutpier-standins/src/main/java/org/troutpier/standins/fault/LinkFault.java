package org.troutpier.standins.fault;

import java.util.Locale;

/** What can be made to go wrong on the connections of a {@link FaultProxy}. Immutable. */
public enum LinkFault {
    /** Every byte is later by the amount, in milliseconds. */
    DELAY,
    /** Open connections are reset, and so are new ones. */
    RESET,
    /** Nothing goes on towards the target; what comes back still does. */
    CUT_FORTH,
    /** Nothing comes back from the target; what goes towards it still does. */
    CUT_BACK,
    /** Nothing passes either way, also on new connections. */
    DARK,
    /** Open connections pass nothing any more, for good and without a reset; new ones work. */
    FORGET;

    /**
     * Returns the name on the command line and in plans.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a fault by its name.
     *
     * @param label the name
     * @return the fault
     * @throws IllegalArgumentException if there is none of that name
     */
    public static LinkFault of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}

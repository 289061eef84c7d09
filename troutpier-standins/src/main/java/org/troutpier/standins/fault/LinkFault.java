package org.troutpier.standins.fault;

import java.util.Locale;

/** Faults that can be injected into the connections of a {@link FaultProxy}. Immutable. */
public enum LinkFault {
    /** All bytes are delayed by the amount, in milliseconds. */
    DELAY,
    /** Open connections are reset, and so are new ones. */
    RESET,
    /** No bytes pass to the target; bytes from the target still pass. */
    CUT_FORTH,
    /** No bytes pass from the target; bytes to the target still pass. */
    CUT_BACK,
    /** No bytes pass in either direction, also on new connections. */
    DARK,
    /** Open connections pass no more bytes, permanently and without a reset; new ones work. */
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
     * Returns the fault of a name.
     *
     * @param label the name
     * @return the fault
     * @throws IllegalArgumentException if no fault has that name
     */
    public static LinkFault of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}

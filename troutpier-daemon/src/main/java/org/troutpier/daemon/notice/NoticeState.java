package org.troutpier.daemon.notice;

import java.util.List;

/** Whether a response contains a particular notice. Immutable and thread safe. */
public enum NoticeState {
    /** The response does not contain the notice. */
    NONE,
    /** The response contains the notice. */
    ANNOUNCED,
    /** The response contains a notice with an invalid value, which is ignored. */
    UNREADABLE;

    private static final List<String> TRUE_VALUES = List.of("1", "true");

    private static final List<String> FALSE_VALUES = List.of("0", "false");

    /**
     * Parses a header that announces something by the value {@code 1} or {@code true}.
     *
     * @param values the values of the header as received
     * @return {@link #ANNOUNCED} if any value is true, {@link #UNREADABLE} if none is and any value
     *     is invalid
     */
    public static NoticeState parseFlag(List<String> values) {
        List<String> parts = HeaderValues.parts(values);
        if (parts.stream().anyMatch(part -> containsIgnoreCase(TRUE_VALUES, part))) {
            return ANNOUNCED;
        }
        return parts.stream().allMatch(part -> containsIgnoreCase(FALSE_VALUES, part))
                ? NONE
                : UNREADABLE;
    }

    private static boolean containsIgnoreCase(List<String> values, String part) {
        return values.stream().anyMatch(part::equalsIgnoreCase);
    }
}

package org.troutpier.daemon.notice;

import java.util.List;

/** Whether an answer announces something of its upstream. Immutable and thread safe. */
public enum NoticeState {
    /** It does not announce it. */
    NONE,
    /** It announces it. */
    ANNOUNCED,
    /** It announces something that cannot be read, which changes nothing. */
    UNREADABLE;

    /** The values by which a header announces it. */
    private static final List<String> YES = List.of("1", "true");

    /** The values by which a header announces that it does not apply. */
    private static final List<String> NO = List.of("0", "false");

    /**
     * Reads the values of a header that announces something by {@code 1} or {@code true}.
     *
     * @param values the values, as they came
     * @return whether any of them announces it; unreadable where none does and one is no such value
     */
    public static NoticeState parseFlag(List<String> values) {
        List<String> parts = HeaderValues.parts(values);
        if (parts.stream().anyMatch(part -> contains(YES, part))) {
            return ANNOUNCED;
        }
        return parts.stream().allMatch(part -> contains(NO, part)) ? NONE : UNREADABLE;
    }

    /**
     * Returns whether a list has a value in any case.
     *
     * @param values the list
     * @param part the value
     * @return whether it has
     */
    private static boolean contains(List<String> values, String part) {
        return values.stream().anyMatch(part::equalsIgnoreCase);
    }
}

package org.troutpier.daemon.role;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Which engines change to a role. Immutable and thread safe.
 *
 * @param role the role that they change to
 * @param count the maximum number of engines
 * @param candidates the engines that may change
 */
record ChangeSelection(UpstreamEntry.Role role, int count, Predicate<UpstreamEntry> candidates) {

    /**
     * Selects the least used engines.
     *
     * @param engines the usable engines of the service
     * @param usedTokens returns the tokens in flight at an engine
     */
    List<UpstreamEntry> select(
            List<UpstreamEntry> engines, ToLongFunction<UpstreamEntry> usedTokens) {
        return engines.stream()
                .filter(each -> each.role() != role && candidates.test(each))
                .sorted(
                        Comparator.comparingLong(usedTokens)
                                .thenComparing(UpstreamEntry::incarnation))
                .limit(count)
                .toList();
    }
}

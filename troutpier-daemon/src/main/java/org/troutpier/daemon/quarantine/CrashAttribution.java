package org.troutpier.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * Which traits explain the known crashes, and so which requests are withheld. All runs that were
 * lost in a crash are suspects of it, and most of them are innocent. Each crash is explained by one
 * trait: the one that explains most crashes first, then the one that explains most of the rest.
 * Traits that occurred in the same crashes form a group; a request with one of them alone is run,
 * since its end tells them apart, and a request with several of them is withheld. Immutable and
 * thread safe; the same records give the same result at all routers.
 */
final class CrashAttribution {

    /** Parts before contents: a part explains the crashes of many contents. */
    private static final Comparator<CrashTrait> ORDER =
            Comparator.comparing((CrashTrait trait) -> trait instanceof RequestFingerprint)
                    .thenComparing(CrashTrait::key);

    /** The attribution while no trait has crashed enough upstreams. */
    static final CrashAttribution NONE = new CrashAttribution(Map.of(), List.of());

    /** The traits that crashed enough upstreams, with these upstreams. */
    private final Map<CrashTrait, Set<UpstreamIncarnation>> mCandidates;

    /** The traits that explain crashes, those that occurred in the same ones together. */
    private final List<Set<CrashTrait>> mGroups;

    /** The crashes that a single trait explains. */
    private final Set<UpstreamIncarnation> mExplained = new HashSet<>();

    private CrashAttribution(
            Map<CrashTrait, Set<UpstreamIncarnation>> candidates, List<Set<CrashTrait>> groups) {
        mCandidates = candidates;
        mGroups = groups;
        for (Set<CrashTrait> group : groups) {
            if (group.size() == 1) {
                group.forEach(trait -> mExplained.addAll(candidates.get(trait)));
            }
        }
    }

    /**
     * Attributes crashes.
     *
     * @param records the crashes of each suspected trait
     * @param crashes the number of otherwise unexplained crashes that a trait must have
     */
    static CrashAttribution of(Map<? extends CrashTrait, CrashRecord> records, int crashes) {
        Map<CrashTrait, Set<UpstreamIncarnation>> candidates = new HashMap<>();
        records.forEach(
                (trait, record) -> {
                    if (record.ended().size() >= crashes) {
                        candidates.put(trait, record.ended());
                    }
                });
        Map<CrashTrait, Set<UpstreamIncarnation>> unexplained = new HashMap<>();
        candidates.forEach((trait, ended) -> unexplained.put(trait, new HashSet<>(ended)));
        List<Set<CrashTrait>> groups = new ArrayList<>();
        while (true) {
            Set<UpstreamIncarnation> most = mostUnexplained(unexplained);
            if (most.size() < crashes) {
                return new CrashAttribution(candidates, groups);
            }
            groups.add(traitsOf(unexplained, most));
            unexplained.values().forEach(each -> each.removeAll(most));
        }
    }

    /** Returns a copy of the largest set of unexplained crashes; empty if there is none. */
    private static Set<UpstreamIncarnation> mostUnexplained(
            Map<CrashTrait, Set<UpstreamIncarnation>> unexplained) {
        Comparator<CrashTrait> bySize =
                Comparator.comparing(trait -> -unexplained.get(trait).size());
        return unexplained.keySet().stream()
                .min(bySize.thenComparing(ORDER))
                .map(trait -> Set.copyOf(unexplained.get(trait)))
                .orElse(Set.of());
    }

    private static Set<CrashTrait> traitsOf(
            Map<CrashTrait, Set<UpstreamIncarnation>> unexplained,
            Set<UpstreamIncarnation> crashes) {
        Set<CrashTrait> traits = new LinkedHashSet<>();
        unexplained.keySet().stream()
                .filter(trait -> unexplained.get(trait).equals(crashes))
                .sorted(ORDER)
                .forEach(traits::add);
        return traits;
    }

    /**
     * Returns the trait for which a request is withheld.
     *
     * @param traits the request's traits
     * @return one of them, or empty if the request is run
     */
    Optional<CrashTrait> reasonToWithhold(Collection<? extends CrashTrait> traits) {
        for (Set<CrashTrait> group : mGroups) {
            List<CrashTrait> present = group.stream().filter(traits::contains).toList();
            if (present.size() > 1 || group.size() == 1 && present.size() == 1) {
                return Optional.of(present.get(0));
            }
        }
        return traits.stream()
                .filter(this::isWithheldContent)
                .map(CrashTrait.class::cast)
                .findFirst();
    }

    /**
     * Returns whether a trait is a content that crashed enough upstreams, not all of them through
     * another trait. A single content is withheld even if others crashed the same upstreams: unlike
     * a part, it is no loss to other requests.
     */
    private boolean isWithheldContent(CrashTrait trait) {
        return trait instanceof RequestFingerprint
                && mCandidates.containsKey(trait)
                && !mExplained.containsAll(mCandidates.get(trait));
    }

    /** Returns the traits for which requests are withheld, alone or together with another one. */
    Set<CrashTrait> withheldTraits() {
        Set<CrashTrait> withheld = new LinkedHashSet<>();
        mGroups.forEach(withheld::addAll);
        mCandidates.keySet().stream().filter(this::isWithheldContent).forEach(withheld::add);
        return withheld;
    }
}

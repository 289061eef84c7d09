package org.troutpier.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * Which traits explain the known crashes, and so which requests are withheld. All runs that were
 * lost in a crash are suspects of it, and most of them are innocent. Each crash is explained by one
 * trait: the one that explains most crashes first, then the one that explains most of the rest.
 * Traits with the same crashes form a group; a request with one of them alone is run, since its
 * outcome distinguishes them, and a request with several of them is withheld. A content is withheld
 * unless another trait explains all its crashes, as this affects no other request. Immutable and
 * thread safe; the same records give the same result at all routers.
 */
final class CrashAttribution {

    /** Parts before contents: a part explains the crashes of many contents. */
    private static final Comparator<CrashTrait> ORDER =
            Comparator.comparing((CrashTrait trait) -> trait instanceof RequestFingerprint)
                    .thenComparing(CrashTrait::key);

    /** The attribution while no trait has crashed enough upstreams. */
    static final CrashAttribution NONE = new CrashAttribution(Map.of(), Set.of());

    /**
     * The traits that explain crashes, with all that occurred in the same ones, that trait
     * included.
     */
    private final Map<CrashTrait, Set<CrashTrait>> mGroups;

    /** The contents that crashed enough upstreams, not all of them through another trait. */
    private final Set<CrashTrait> mContents;

    private CrashAttribution(Map<CrashTrait, Set<CrashTrait>> groups, Set<CrashTrait> contents) {
        mGroups = groups;
        mContents = contents;
    }

    /**
     * Attributes crashes.
     *
     * @param records the crashes of each suspected trait
     * @param crashes the number of otherwise unexplained crashes that a trait must have
     */
    static CrashAttribution of(Map<? extends CrashTrait, CrashRecord> records, int crashes) {
        List<Candidate> candidates = new ArrayList<>();
        records.forEach(
                (trait, record) -> {
                    if (record.ended().size() >= crashes) {
                        candidates.add(new Candidate(trait, record.ended()));
                    }
                });
        if (candidates.isEmpty()) {
            return NONE;
        }
        candidates.sort(Comparator.comparing(candidate -> candidate.mTrait, ORDER));
        Map<UpstreamIncarnation, List<Candidate>> byUpstream = indexByUpstream(candidates);
        Map<CrashTrait, Set<CrashTrait>> groups = new LinkedHashMap<>();
        Set<UpstreamIncarnation> explained = new HashSet<>();
        Candidate best = best(candidates, crashes);
        while (best != null) {
            Set<CrashTrait> group = withSameCrashes(best, byUpstream);
            group.forEach(trait -> groups.put(trait, group));
            if (group.size() == 1) {
                explained.addAll(best.mEnded);
            }
            for (UpstreamIncarnation upstream : Set.copyOf(best.mUnexplained)) {
                byUpstream.get(upstream).forEach(each -> each.mUnexplained.remove(upstream));
            }
            best = best(candidates, crashes);
        }
        return new CrashAttribution(groups, contentsBeyond(explained, candidates));
    }

    private static Map<UpstreamIncarnation, List<Candidate>> indexByUpstream(
            List<Candidate> candidates) {
        Map<UpstreamIncarnation, List<Candidate>> index = new HashMap<>();
        for (Candidate candidate : candidates) {
            for (UpstreamIncarnation upstream : candidate.mEnded) {
                index.computeIfAbsent(upstream, key -> new ArrayList<>()).add(candidate);
            }
        }
        return index;
    }

    /** Returns the traits with the same unexplained crashes as a candidate, its own included. */
    private static Set<CrashTrait> withSameCrashes(
            Candidate best, Map<UpstreamIncarnation, List<Candidate>> byUpstream) {
        Set<CrashTrait> group = new LinkedHashSet<>();
        for (Candidate other : byUpstream.get(best.mUnexplained.iterator().next())) {
            if (other.mUnexplained.equals(best.mUnexplained)) {
                group.add(other.mTrait);
            }
        }
        return group;
    }

    /** Returns the contents with crashes that are not explained by a single other trait. */
    private static Set<CrashTrait> contentsBeyond(
            Set<UpstreamIncarnation> explained, List<Candidate> candidates) {
        Set<CrashTrait> contents = new LinkedHashSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.mTrait instanceof RequestFingerprint
                    && !explained.containsAll(candidate.mEnded)) {
                contents.add(candidate.mTrait);
            }
        }
        return contents;
    }

    /** Returns the first of those with most unexplained crashes, or null if all have too few. */
    private static Candidate best(List<Candidate> candidates, int crashes) {
        Candidate best = null;
        for (Candidate candidate : candidates) {
            int most = best == null ? crashes - 1 : best.mUnexplained.size();
            if (candidate.mUnexplained.size() > most) {
                best = candidate;
            }
        }
        return best;
    }

    /** A trait that crashed enough upstreams. Confined to the computation of an attribution. */
    private static final class Candidate {

        private final CrashTrait mTrait;

        private final Set<UpstreamIncarnation> mEnded;

        /** The crashes that no trait explains yet. */
        private final Set<UpstreamIncarnation> mUnexplained;

        Candidate(CrashTrait trait, Set<UpstreamIncarnation> ended) {
            mTrait = trait;
            mEnded = ended;
            mUnexplained = new HashSet<>(ended);
        }
    }

    /**
     * Returns the traits for which a request is withheld.
     *
     * @param traits the request's traits
     * @return some of them; none if the request is run
     */
    List<CrashTrait> reasonsToWithhold(Collection<? extends CrashTrait> traits) {
        List<CrashTrait> reasons = new ArrayList<>();
        for (CrashTrait trait : traits) {
            Set<CrashTrait> group = mGroups.getOrDefault(trait, Set.of());
            if (group.size() == 1
                    || mContents.contains(trait)
                    || traits.stream()
                            .anyMatch(each -> !each.equals(trait) && group.contains(each))) {
                reasons.add(trait);
            }
        }
        return reasons;
    }

    /** Returns the traits for which requests are withheld, alone or together with another one. */
    Set<CrashTrait> withheldTraits() {
        Set<CrashTrait> withheld = new LinkedHashSet<>(mGroups.keySet());
        withheld.addAll(mContents);
        return withheld;
    }
}

package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.HallId;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Selects the other routers that record the origins of a router's streams: by rendezvous hashing of
 * both instances, so that each router has about as many records to hold, and a change of the fleet
 * changes few choices; in as many other halls as there are. Stateless and thread safe.
 */
final class OriginHolders {

    /** Number of routers that record each origin. */
    static final int COUNT = 2;

    /** Number of routers that are kept connected, so that one that fails is replaced at once. */
    static final int CANDIDATES = 3;

    private OriginHolders() {}

    /**
     * Ranks the candidates.
     *
     * @param live all routers that may be running
     * @return at most {@link #CANDIDATES}, the preferred ones first
     */
    static List<Member> rank(Member self, List<Member> live) {
        List<Member> left = new ArrayList<>(live);
        left.removeIf(member -> instance(member).equals(instance(self)));
        left.sort(
                Comparator.<Member>comparingLong(member -> score(self, member))
                        .thenComparing(OriginHolders::instance));
        Map<HallId, Integer> selected = new HashMap<>();
        selected.put(self.hall(), 1);
        List<Member> ranked = new ArrayList<>();
        while (!left.isEmpty() && ranked.size() < CANDIDATES) {
            Member next = left.get(0);
            for (Member member : left) {
                if (selected.getOrDefault(member.hall(), 0)
                        < selected.getOrDefault(next.hall(), 0)) {
                    next = member;
                }
            }
            left.remove(next);
            ranked.add(next);
            selected.merge(next.hall(), 1, Integer::sum);
        }
        return ranked;
    }

    private static String instance(Member member) {
        return member.incarnation().instance().value();
    }

    /** Returns a hash of both instances, mixed so that similar names spread evenly. */
    private static long score(Member self, Member other) {
        long hash = (long) instance(self).hashCode() << Integer.SIZE ^ instance(other).hashCode();
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}

package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * The routers to which a router reports its load and which report to it. Immutable; computed only
 * from the known routers, their capacities and which of them are reachable. Up to {@link
 * #MAX_DIRECT_ROUTERS} routers all report to each other. Of more, the usable router of each hall
 * with the greatest capacity is its relay: the others of the hall report to it, and the relays of
 * all halls exchange the totals of their groups. The next router of each hall is a standby,
 * connected to all routers that would need it. So the number of a router's messages grows at most
 * with the size of its hall, not with that of the fleet.
 *
 * @param direct whether all routers report to each other
 * @param tableReader whether this router reads shared tables of the store for its hall; unless
 *     {@code direct}, it is also the hall's relay
 * @param connectionTargets the routers to be connected to
 * @param reportTo the relay to which this router reports; empty for a relay and where {@code
 *     direct}
 * @param relays the relays of the other halls; empty for a router that is not a relay
 */
record RelayPlan(
        boolean direct,
        boolean tableReader,
        List<Member> connectionTargets,
        Optional<Member> reportTo,
        List<Member> relays) {

    /**
     * Largest number of routers that all report to each other, so that a report takes one hop.
     * Reports of seven others cost 0.042 of a core (docs/CAPACITY.md); 15 others cost about twice
     * as much, which is acceptable.
     */
    static final int MAX_DIRECT_ROUTERS = 16;

    /**
     * Number of routers of a hall that are kept connected as relays: the relay and a standby. The
     * standby is not a second relay that receives all groups too: that doubled the relays that
     * report to each other (ten for five halls). So it opens connections to the other relays only
     * when it takes over.
     */
    static final int RELAY_CANDIDATES = 2;

    /**
     * Computes a plan.
     *
     * @param live all routers that may be running, including this one
     * @param capacity a router's capacity; see {@link RouterCapacity}
     * @param usable whether another router is connected and answers
     */
    static RelayPlan of(
            Member self,
            List<Member> live,
            ToIntFunction<Member> capacity,
            Predicate<Incarnation> usable) {
        Predicate<Member> available =
                member ->
                        member.incarnation().equals(self.incarnation())
                                || usable.test(member.incarnation());
        List<Member> ranked = new ArrayList<>(live);
        ranked.sort(
                Comparator.comparingInt(capacity)
                        .reversed()
                        .thenComparing(member -> member.incarnation().instance().value()));
        Ranking ownHall = Ranking.of(self.hall(), ranked, available);
        boolean tableReader = ownHall.isFirst(self);
        if (live.size() <= MAX_DIRECT_ROUTERS) {
            return new RelayPlan(true, tableReader, live, Optional.empty(), List.of());
        }
        List<Member> connectionTargets = new ArrayList<>(ownHall.candidates());
        if (tableReader) {
            List<Member> relays = new ArrayList<>();
            for (HallId hall : otherHalls(self, live)) {
                Ranking other = Ranking.of(hall, ranked, available);
                connectionTargets.addAll(other.candidates());
                other.first().ifPresent(relays::add);
            }
            return new RelayPlan(false, true, connectionTargets, Optional.empty(), relays);
        }
        return new RelayPlan(false, false, connectionTargets, ownHall.first(), List.of());
    }

    /** Returns whether this router is the relay of its hall. */
    boolean isRelay() {
        return tableReader && !direct;
    }

    private static List<HallId> otherHalls(Member self, List<Member> live) {
        return live.stream()
                .map(Member::hall)
                .filter(hall -> !hall.equals(self.hall()))
                .distinct()
                .toList();
    }

    /**
     * The routers of one hall that may be its relay. Immutable.
     *
     * @param candidates the routers to be connected to: the first usable ones, and all that rank
     *     before the last of them
     * @param first the first usable router, if any
     */
    private record Ranking(List<Member> candidates, Optional<Member> first) {

        /**
         * Ranks a hall's routers.
         *
         * @param ranked all routers, by descending capacity
         * @param available whether a router can be used
         */
        static Ranking of(HallId hall, List<Member> ranked, Predicate<Member> available) {
            List<Member> candidates = new ArrayList<>();
            List<Member> usable = new ArrayList<>();
            for (Member member : ranked) {
                if (!member.hall().equals(hall)) {
                    continue;
                }
                candidates.add(member);
                if (available.test(member)) {
                    usable.add(member);
                }
                if (usable.size() == RELAY_CANDIDATES) {
                    break;
                }
            }
            return new Ranking(candidates, usable.stream().findFirst());
        }

        boolean isFirst(Member member) {
            return first.filter(member::equals).isPresent();
        }
    }
}

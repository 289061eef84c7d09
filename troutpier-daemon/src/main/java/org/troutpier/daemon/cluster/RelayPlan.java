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
 * To whom a router tells its load and from whom it hears that of the others. Immutable; a pure
 * decision of who is known, what each can do and who can be used. Few routers tell each other
 * directly. Of many, the ablest usable router of each hall is its relay: the others of the hall
 * report to it, and the relays of all halls tell each other of their groups. The next of each hall
 * stands by, connected to all that would need it. A router's messages so grow with its hall's size
 * at most, not with that of the whole.
 *
 * @param direct whether all routers tell each other
 * @param reader whether this router reads shared tables for its hall; of many it relays too
 * @param wanted the routers to be connected to
 * @param reportTo whom this router reports to; empty for a relay and where all tell each other
 * @param relays the other relays of all halls; empty for a router that is no relay
 */
record RelayPlan(
        boolean direct,
        boolean reader,
        List<Member> wanted,
        Optional<Member> reportTo,
        List<Member> relays) {

    /**
     * Up to how many routers all tell each other, so that word comes in one step. Reports of seven
     * others cost 0.042 of a core (docs/CAPACITY.md); twice as many are borne.
     */
    static final int MOST_DIRECT = 16;

    /**
     * How many routers of a hall are kept connected to relay: the relay and one that stands by. One
     * that stood by as a second relay, told of all groups as well, doubled the relays that tell
     * each other (ten of five halls). Without them it opens connections to the other relays when it
     * takes the place.
     */
    static final int CANDIDATES = 2;

    /**
     * Makes a plan.
     *
     * @param self this router
     * @param live all routers that may be there, this one included
     * @param points how much each can do
     * @param usable whether another router is connected and answers
     * @return the plan
     */
    static RelayPlan of(
            Member self,
            List<Member> live,
            ToIntFunction<Member> points,
            Predicate<Incarnation> usable) {
        Predicate<Member> here =
                member ->
                        member.incarnation().equals(self.incarnation())
                                || usable.test(member.incarnation());
        List<Member> ranked = new ArrayList<>(live);
        ranked.sort(
                Comparator.comparingInt(points)
                        .reversed()
                        .thenComparing(member -> member.incarnation().instance().value()));
        Ranking ownHall = Ranking.of(self.hall(), ranked, here);
        boolean reader = ownHall.isFirst(self);
        if (live.size() <= MOST_DIRECT) {
            return new RelayPlan(true, reader, live, Optional.empty(), List.of());
        }
        List<Member> wanted = new ArrayList<>(ownHall.candidates());
        if (reader) {
            List<Member> relays = new ArrayList<>();
            for (HallId hall : otherHalls(self, live)) {
                Ranking other = Ranking.of(hall, ranked, here);
                wanted.addAll(other.candidates());
                other.first().ifPresent(relays::add);
            }
            return new RelayPlan(false, true, wanted, Optional.empty(), relays);
        }
        return new RelayPlan(false, false, wanted, ownHall.first(), List.of());
    }

    /**
     * Returns whether this router relays for its hall.
     *
     * @return whether it does: its hall's reader, unless all tell each other
     */
    boolean relay() {
        return reader && !direct;
    }

    /**
     * Returns the other halls.
     *
     * @param self this router
     * @param live all routers
     * @return the halls, each once
     */
    private static List<HallId> otherHalls(Member self, List<Member> live) {
        return live.stream()
                .map(Member::hall)
                .filter(hall -> !hall.equals(self.hall()))
                .distinct()
                .toList();
    }

    /**
     * The routers of one hall that may relay. Immutable.
     *
     * @param candidates those to be connected to: the first that are usable and all that rank
     *     before the last of them
     * @param first the first that is usable, if any is
     */
    private record Ranking(List<Member> candidates, Optional<Member> first) {

        /**
         * Ranks a hall's routers.
         *
         * @param hall the hall
         * @param ranked all routers, the ablest first
         * @param here whether a router can be used
         * @return the ranking
         */
        static Ranking of(HallId hall, List<Member> ranked, Predicate<Member> here) {
            List<Member> candidates = new ArrayList<>();
            List<Member> usable = new ArrayList<>();
            for (Member member : ranked) {
                if (!member.hall().equals(hall)) {
                    continue;
                }
                candidates.add(member);
                if (here.test(member)) {
                    usable.add(member);
                }
                if (usable.size() == CANDIDATES) {
                    break;
                }
            }
            return new Ranking(candidates, usable.stream().findFirst());
        }

        /**
         * Returns whether a router is the first.
         *
         * @param member the router
         * @return whether it is
         */
        boolean isFirst(Member member) {
            return first.filter(member::equals).isPresent();
        }
    }
}

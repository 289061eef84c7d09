package org.troutpier.daemon.peer;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Picks the router that looks after something, by rendezvous hashing over the live members: each
 * router picks the same one while all see the same members, and when a member goes only what it
 * looked after moves. Stateless and thread safe. A wrong or doubled choice must cost goodput only.
 */
public final class CoordinatorSelector {

    /** The hash. */
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    /** Not to be instantiated. */
    private CoordinatorSelector() {}

    /**
     * Picks the router that looks after something.
     *
     * @param subject what is looked after
     * @param members the live members; not empty
     * @return the one with the highest hash
     */
    public static Incarnation select(String subject, List<Member> members) {
        Incarnation best = null;
        long highest = 0;
        for (Member member : members) {
            String instance = member.incarnation().instance().value();
            long hash = HASHER.hashStream().putString(subject).putString(instance).getAsLong();
            if (best == null || Long.compareUnsigned(hash, highest) > 0) {
                best = member.incarnation();
                highest = hash;
            }
        }
        return best;
    }
}

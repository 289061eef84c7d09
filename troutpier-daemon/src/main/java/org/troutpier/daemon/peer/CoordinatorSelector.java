package org.troutpier.daemon.peer;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Selects the router that coordinates a subject, by rendezvous hashing over the live members.
 * Routers that see the same members select the same coordinator, and when a member is missing, only
 * its own subjects move to other routers. Stateless and thread safe. Members may differ for a
 * while, so callers must tolerate a wrong or a second coordinator: either may only cost goodput.
 */
public final class CoordinatorSelector {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private CoordinatorSelector() {}

    /**
     * Selects the coordinator of a subject: the member with the highest hash.
     *
     * @param subject the name of what is coordinated
     * @param members the live members; not empty
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

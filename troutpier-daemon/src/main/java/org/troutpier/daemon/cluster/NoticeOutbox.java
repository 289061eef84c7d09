package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;

/**
 * Collects notices to other routers until they are sent. Confined to the control thread. Invariant:
 * each notice is sent once, to all routers or to the members of this relay's group.
 *
 * @param <T> the notices' type
 */
final class NoticeOutbox<T> {

    private final Function<List<T>, PeerMessage> mMessageFactory;

    /** Notices to all routers. */
    private final List<T> mLocalNotices = new ArrayList<>();

    /** Notices that came from other relays, to the members of the group. */
    private final List<T> mRemoteNotices = new ArrayList<>();

    NoticeOutbox(Function<List<T>, PeerMessage> messageFactory) {
        mMessageFactory = messageFactory;
    }

    /**
     * Adds notices.
     *
     * @param local whether they come from this router or a member of its group, so that all routers
     *     are notified; otherwise only the members
     */
    void add(Collection<T> notices, boolean local) {
        (local ? mLocalNotices : mRemoteNotices).addAll(notices);
    }

    /**
     * Sends and removes all notices.
     *
     * @param broadcastTargets the routers that receive notices to all
     * @param groupMembers the members of this relay's group
     */
    void flush(PeerLinks links, Set<Incarnation> broadcastTargets, Set<Incarnation> groupMembers) {
        flush(links, mLocalNotices, broadcastTargets);
        flush(links, mRemoteNotices, groupMembers);
    }

    private void flush(PeerLinks links, List<T> notices, Set<Incarnation> to) {
        if (!notices.isEmpty()) {
            links.sendAll(to, mMessageFactory.apply(List.copyOf(notices)));
            notices.clear();
        }
    }
}

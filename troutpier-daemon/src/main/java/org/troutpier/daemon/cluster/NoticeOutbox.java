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
 * What is to be told to the other routers once, gathered until the next time that any is told.
 * Confined to the control thread. Invariant: each notice is told once, to all or to the routers
 * that report to this relay.
 *
 * @param <T> the notices' type
 */
final class NoticeOutbox<T> {

    /** Makes a message of notices. */
    private final Function<List<T>, PeerMessage> mMessage;

    /** Notices that are to be told to all. */
    private final List<T> mHere = new ArrayList<>();

    /** Notices that relays told, to be told to the hall. */
    private final List<T> mElsewhere = new ArrayList<>();

    /**
     * Creates an empty outbox.
     *
     * @param message makes a message of notices
     */
    NoticeOutbox(Function<List<T>, PeerMessage> message) {
        mMessage = message;
    }

    /**
     * Adds notices.
     *
     * @param notices the notices
     * @param here whether they are of this router or of one that reports to it, so that all are to
     *     hear them; otherwise only those that report to this router
     */
    void add(Collection<T> notices, boolean here) {
        (here ? mHere : mElsewhere).addAll(notices);
    }

    /**
     * Tells what was added.
     *
     * @param links connections to the others
     * @param audience all whom this router tells what everybody should know
     * @param locals the routers that report to this one
     */
    void tell(PeerLinks links, Set<Incarnation> audience, Set<Incarnation> locals) {
        tell(links, mHere, audience);
        tell(links, mElsewhere, locals);
    }

    /**
     * Tells some of it.
     *
     * @param links connections to the others
     * @param notices the notices, emptied then
     * @param to whom to tell
     */
    private void tell(PeerLinks links, List<T> notices, Set<Incarnation> to) {
        if (!notices.isEmpty()) {
            links.sendAll(to, mMessage.apply(List.copyOf(notices)));
            notices.clear();
        }
    }
}

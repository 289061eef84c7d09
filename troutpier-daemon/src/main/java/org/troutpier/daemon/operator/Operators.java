package org.troutpier.daemon.operator;

import org.troutpier.daemon.configuration.ConfigurationKeeper;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerLogic;
import org.troutpier.daemon.placement.UpstreamBook;
import org.troutpier.daemon.request.LifeRegistry;

/** Puts the operators' parts together. Stateless and thread safe. */
public final class Operators {

    /** Not to be instantiated. */
    private Operators() {}

    /**
     * Makes the desk that answers queries and commands.
     *
     * @param node what every part of the router shares
     * @param registry the requests that this router carries
     * @param book all upstreams
     * @param membership who the routers are
     * @param keeper the declarations in force
     * @param peers knows the versions of the other routers
     * @return the desk
     */
    public static CommandDesk commands(
            Node node,
            LifeRegistry registry,
            UpstreamBook book,
            Membership membership,
            ConfigurationKeeper keeper,
            PeerLogic peers) {
        return new CommandDesk(
                node, registry, new Inventory(node, registry, book, membership, keeper, peers));
    }
}

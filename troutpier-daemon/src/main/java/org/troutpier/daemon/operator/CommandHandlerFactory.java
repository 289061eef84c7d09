package org.troutpier.daemon.operator;

import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerController;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.request.ExchangeRegistry;

/** Creates the command handler with what it depends on. Stateless and thread safe. */
public final class CommandHandlerFactory {

    private CommandHandlerFactory() {}

    /**
     * Creates the handler of queries and commands.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry the requests that this router carries
     * @param upstreamRegistry all upstreams
     * @param membership knows the routers
     * @param declarations the declarations in force
     * @param peers knows the configuration versions of the other routers
     * @return the handler
     */
    public static CommandHandler create(
            Node node,
            ExchangeRegistry registry,
            UpstreamRegistry upstreamRegistry,
            Membership membership,
            ConfigurationRegistry declarations,
            PeerController peers) {
        return new CommandHandler(
                node,
                registry,
                new Inventory(node, registry, upstreamRegistry, membership, declarations, peers));
    }
}

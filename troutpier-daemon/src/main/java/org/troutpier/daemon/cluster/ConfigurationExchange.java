package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.route.CurrentConfiguration;

/**
 * Sends the configuration in force to routers that have an older one, and adopts newer ones that
 * others send, so that a router that the store rejects still follows. Confined to the control
 * thread.
 */
final class ConfigurationExchange {

    /** Time during which the same version is not sent to a router again, milliseconds. */
    private static final long RESEND_MILLIS = 500;

    /**
     * Time for which a router may report an older version before it is sent the one in force,
     * milliseconds: a few calls of the store. With the interval between two reports, it stays well
     * under the two seconds in which a version must be in force everywhere.
     */
    private static final long OUTDATED_GRACE_MILLIS = 300;

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationExchange.class);

    private final Node mNode;

    private final PeerLinks mLinks;

    private final CurrentConfiguration mConfiguration;

    private final ConfigurationDecoder mDecoder;

    /** The configuration that was last sent to each router. */
    private final Map<Incarnation, SentConfiguration> mSent = new HashMap<>();

    /** Time since when each router has been known to have an older version, milliseconds. */
    private final Map<Incarnation, Long> mOutdatedSince = new HashMap<>();

    /**
     * A configuration that was sent.
     *
     * @param version its version
     * @param sentMillis when, milliseconds on the monotonic clock
     */
    private record SentConfiguration(long version, long sentMillis) {}

    /**
     * Creates an exchange.
     *
     * @param decoder decodes configurations of other routers
     */
    ConfigurationExchange(
            Node node,
            PeerLinks links,
            CurrentConfiguration configuration,
            ConfigurationDecoder decoder) {
        mNode = node;
        mLinks = links;
        mConfiguration = configuration;
        mDecoder = decoder;
    }

    /** Discards what is known of the versions at an earlier start of a router. */
    void forget(Incarnation router) {
        mSent.remove(router);
        mOutdatedSince.remove(router);
    }

    /**
     * Sends the version in force to a router that has had an older one for a while. Routers read
     * the store themselves: sent to all at once, 20 versions with 550 routes took 90 MB of traffic
     * between halls in a simulation with seven routers.
     *
     * @param version the version that the router reports
     */
    void onVersion(Incarnation router, long version) {
        if (version >= mConfiguration.version()) {
            mOutdatedSince.remove(router);
            return;
        }
        long now = mNode.millis();
        long since = mOutdatedSince.computeIfAbsent(router, first -> now);
        if (now - since >= OUTDATED_GRACE_MILLIS) {
            send(router);
        }
    }

    /** Adopts a configuration that a router sent, if it is newer. */
    void onOffered(Incarnation from, PeerMessage.Configuration offered) {
        if (offered.version() <= mConfiguration.version()) {
            return;
        }
        try {
            mConfiguration.adoptIfNewer(mDecoder.decode(offered.encoded()), from.value());
        } catch (RuntimeException exception) {
            LOGGER.error("cannot decode configuration from={}", from, exception);
        }
    }

    /** Sends the version in force, unless it was sent a short time ago. */
    private void send(Incarnation to) {
        long now = mNode.millis();
        long version = mConfiguration.version();
        SentConfiguration before = mSent.get(to);
        if (before != null
                && before.version() == version
                && now - before.sentMillis() < RESEND_MILLIS) {
            return;
        }
        mConfiguration
                .current()
                .ifPresent(
                        current -> {
                            mSent.put(to, new SentConfiguration(current.version(), now));
                            mLinks.send(
                                    to,
                                    new PeerMessage.Configuration(
                                            current.version(), current.encoded()));
                        });
    }
}

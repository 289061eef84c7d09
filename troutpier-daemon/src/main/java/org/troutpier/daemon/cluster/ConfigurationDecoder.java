package org.troutpier.daemon.cluster;

import org.troutpier.daemon.route.RoutingConfiguration;

/** Reads a configuration as the operator wrote it. Implementations are thread safe. */
public interface ConfigurationDecoder {

    /**
     * Reads a configuration.
     *
     * @param encoded the operator's bytes
     * @return the configuration
     */
    RoutingConfiguration decode(byte[] encoded);
}

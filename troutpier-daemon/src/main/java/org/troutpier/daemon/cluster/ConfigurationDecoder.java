package org.troutpier.daemon.cluster;

import org.troutpier.daemon.route.RoutingConfiguration;

/** Decodes configurations in the operator's encoding. Implementations are thread safe. */
public interface ConfigurationDecoder {

    /**
     * Decodes a configuration.
     *
     * @param encoded the operator's bytes
     * @return the configuration
     */
    RoutingConfiguration decode(byte[] encoded);
}

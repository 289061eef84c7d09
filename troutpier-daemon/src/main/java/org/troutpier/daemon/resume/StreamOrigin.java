package org.troutpier.daemon.resume;

import org.troutpier.common.id.SoftwareVersion;

/**
 * What wrote the first event of a stream. Immutable and thread safe.
 *
 * @param service the service
 * @param version the software version of the service's upstream
 */
public record StreamOrigin(String service, SoftwareVersion version) {

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return service + "/" + version;
    }
}

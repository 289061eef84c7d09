package org.troutpier.daemon.resume;

import java.util.Optional;
import org.troutpier.common.id.SoftwareVersion;

/** The software versions of services. Implementations are confined to the control thread. */
public interface ServedVersions {

    /** Nothing is known of any service. */
    ServedVersions UNKNOWN = service -> Optional.empty();

    /**
     * Returns the version of all upstreams that serve, or have served for as long as a stream may
     * still be resumed.
     *
     * @return the version; empty if there are several, or may be
     */
    Optional<SoftwareVersion> onlyVersion(String service);
}

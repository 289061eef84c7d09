package org.troutpier.daemon.route;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The routing configuration in force at this router. Thread safe. Invariant: the version only
 * increases.
 */
public final class CurrentConfiguration {

    private static final Logger LOGGER = LogManager.getLogger(CurrentConfiguration.class);

    /** Null before the first version. */
    private volatile RoutingConfiguration mCurrent;

    /**
     * Puts a configuration in force if its version is newer.
     *
     * @param offered the configuration
     * @param source its origin, for the log
     * @return whether it was put in force
     */
    public boolean adoptIfNewer(RoutingConfiguration offered, String source) {
        synchronized (this) {
            if (mCurrent != null && offered.version() <= mCurrent.version()) {
                return false;
            }
            mCurrent = offered;
        }
        LOGGER.info("configuration adopted version={} source={}", offered.version(), source);
        return true;
    }

    /** Returns the configuration in force, or empty before the first. */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Returns the version in force, or -1 before the first. */
    public long version() {
        RoutingConfiguration current = mCurrent;
        return current == null ? -1 : current.version();
    }
}

package org.troutpier.daemon.route;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The version in force at this router. Thread safe. Invariant: the version only rises. */
public final class CurrentConfiguration {

    /** Logs each adopted version. */
    private static final Logger LOGGER = LogManager.getLogger(CurrentConfiguration.class);

    /** The version in force, or null before the first. */
    private volatile RoutingConfiguration mCurrent;

    /**
     * Takes a version if it is newer than the one in force.
     *
     * @param offered the version
     * @param source where it came from, for the log
     * @return whether it was taken
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

    /**
     * Returns the version in force.
     *
     * @return the configuration, or empty before the first
     */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * Returns the number of the version in force.
     *
     * @return the version, or -1 before the first
     */
    public long version() {
        RoutingConfiguration current = mCurrent;
        return current == null ? -1 : current.version();
    }
}

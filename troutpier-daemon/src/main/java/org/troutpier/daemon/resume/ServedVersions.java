package org.troutpier.daemon.resume;

import java.util.Optional;
import java.util.function.Consumer;
import org.troutpier.common.id.SoftwareVersion;

/**
 * The software versions of services. Implementations are confined to the control thread, except
 * {@link #isStored}, which is thread safe.
 */
public interface ServedVersions {

    /** Nothing is known of any service. */
    ServedVersions UNKNOWN =
            new ServedVersions() {

                /** {@inheritDoc} */
                @Override
                public void refresh(Consumer<Boolean> next) {
                    next.accept(false);
                }

                /** {@inheritDoc} */
                @Override
                public Optional<SoftwareVersion> onlyVersion(String service) {
                    return Optional.empty();
                }

                /** {@inheritDoc} */
                @Override
                public boolean isInDoubt(String service) {
                    return false;
                }

                /** {@inheritDoc} */
                @Override
                public boolean isStored(StreamOrigin origin) {
                    return false;
                }
            };

    /**
     * Brings what is known up to date with the store, as of a moment after this call.
     *
     * @param next receives whether the store answered; if not, what is known may be out of date
     */
    void refresh(Consumer<Boolean> next);

    /**
     * Returns the version of all upstreams that serve, or have served for as long as a stream may
     * still be resumed.
     *
     * @return the version; empty if there are several, or may be, or if what is known is too old
     */
    Optional<SoftwareVersion> onlyVersion(String service);

    /** Returns whether streams of several versions of a service may still be resumed. */
    boolean isInDoubt(String service);

    /**
     * Returns whether all routers will know that a version has served, also those that start after
     * the loss of all others.
     */
    boolean isStored(StreamOrigin origin);
}

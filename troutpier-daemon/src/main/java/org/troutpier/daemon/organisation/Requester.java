package org.troutpier.daemon.organisation;

import java.util.Optional;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.route.RoutingConfiguration;

/** The identity of a caller under the configuration in force. Immutable and thread safe. */
public sealed interface Requester {

    /**
     * Returns whether the identity that a caller presents was checked. If so, neither its key nor a
     * name that it claims is forwarded to an upstream.
     *
     * @return whether the configuration contains organisations
     */
    boolean checked();

    /** Returns the organisation in whose name the request is made, if any. */
    Optional<Organisation> organisation();

    /**
     * Authenticates a caller against the configuration in force.
     *
     * @param key the hash of the caller's key, if the request contains a valid one
     * @return the identity, or empty if the key is missing or unknown
     */
    static Optional<Requester> authenticate(
            RoutingConfiguration configuration, Route route, Optional<KeyHash> key) {
        if (!configuration.requiresKeys()) {
            return Optional.of(new Unchecked());
        }
        if (route.open()) {
            return Optional.of(new PublicCaller());
        }
        return key.flatMap(configuration::findOrganisation).map(Member::new);
    }

    /** A caller under a configuration without organisations. */
    record Unchecked() implements Requester {

        /** {@inheritDoc} */
        @Override
        public boolean checked() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Organisation> organisation() {
            return Optional.empty();
        }
    }

    /** A caller of a route that requires no key. */
    record PublicCaller() implements Requester {

        /** {@inheritDoc} */
        @Override
        public boolean checked() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Organisation> organisation() {
            return Optional.empty();
        }
    }

    /**
     * A caller with the key of an organisation.
     *
     * @param member the organisation
     */
    record Member(Organisation member) implements Requester {

        /** {@inheritDoc} */
        @Override
        public boolean checked() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Organisation> organisation() {
            return Optional.of(member);
        }
    }
}

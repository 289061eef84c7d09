package org.troutpier.daemon.organisation;

import java.util.Optional;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.route.RoutingConfiguration;

/** A caller as the configuration knows it. Immutable and thread safe. */
public sealed interface Requester {

    /**
     * Returns whether what a caller says of itself was looked at. Then neither its key nor any name
     * that it gave itself goes on to an upstream.
     *
     * @return whether the configuration has organisations
     */
    boolean checked();

    /**
     * Returns in whose name the request is made.
     *
     * @return the organisation, if the request has one
     */
    Optional<Organisation> organisation();

    /**
     * Authenticates the caller against the active configuration.
     *
     * @param configuration the version
     * @param route the request's route
     * @param key the caller's key, if it sent one that can be read
     * @return who asks, or empty where the key is missing or not known
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

    /** A caller of a configuration without organisations. */
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

    /** A caller of a route that asks for no key. */
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
     * A caller with an organisation's key.
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

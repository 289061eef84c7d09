package org.troutpier.daemon.organisation;

import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;

/**
 * Shows operators the organisations and what they use. Confined to the traffic loop. Invariant: of
 * a key nothing is shown but a few digits of its hash.
 */
public final class OrganisationsHandler implements HttpHandler {

    /** Where the organisations are listed. */
    public static final String PATH = "/organisations";

    /** What organisations use. */
    private final OrganisationUse mUse;

    /**
     * Creates a handler.
     *
     * @param use what organisations use
     */
    public OrganisationsHandler(OrganisationUse use) {
        mUse = use;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        exchange.answer(Answers.json(200, mUse.standings()));
    }
}

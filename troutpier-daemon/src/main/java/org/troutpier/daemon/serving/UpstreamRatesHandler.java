package org.troutpier.daemon.serving;

import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;

/** Shows operators the upstreams that name rates. Confined to the traffic loop. */
public final class UpstreamRatesHandler implements HttpHandler {

    /** Where the upstreams are listed. */
    public static final String PATH = "/rates";

    /** What upstreams name. */
    private final UpstreamRates mRates;

    /**
     * Creates a handler.
     *
     * @param rates what upstreams name
     */
    public UpstreamRatesHandler(UpstreamRates rates) {
        mRates = rates;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        exchange.answer(Answers.json(200, mRates.standings()));
    }
}

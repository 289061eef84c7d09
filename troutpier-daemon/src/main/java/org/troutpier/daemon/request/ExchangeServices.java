package org.troutpier.daemon.request;

import org.troutpier.daemon.admission.AdmissionController;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.upstream.CancellationRetrier;
import org.troutpier.daemon.upstream.EngineClient;

/**
 * What the handling of every request calls on. Immutable and thread safe.
 *
 * @param node the router's identity, threads, clock and metrics
 * @param controller decides who starts; control thread only
 * @param claims takes and settles claims
 * @param engineClient the model engines
 * @param cancels cancels attempts; control thread only
 * @param budget bounds retries
 * @param registry the requests that this router carries
 */
public record ExchangeServices(
        Node node,
        AdmissionController controller,
        ClaimStore claims,
        EngineClient engineClient,
        CancellationRetrier cancels,
        RetryBudget budget,
        ExchangeRegistry registry) {}

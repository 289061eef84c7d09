package org.troutpier.daemon.request;

import org.troutpier.daemon.admission.AdmissionController;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.upstream.CancellationRetrier;
import org.troutpier.daemon.upstream.EngineClient;

/**
 * Services shared by all exchanges. Immutable and thread safe.
 *
 * @param node identity, threads, clock and metrics of this router
 * @param controller admission control; control thread only
 * @param claims acquires and settles claims
 * @param engineClient client of the model engines
 * @param cancels cancels attempts, with retries; control thread only
 * @param budget limits retries
 * @param registry the requests in progress on this router
 */
public record ExchangeServices(
        Node node,
        AdmissionController controller,
        ClaimStore claims,
        EngineClient engineClient,
        CancellationRetrier cancels,
        RetryBudget budget,
        ExchangeRegistry registry) {}

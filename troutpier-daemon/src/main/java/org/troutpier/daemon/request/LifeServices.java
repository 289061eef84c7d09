package org.troutpier.daemon.request;

import org.troutpier.daemon.admission.AdmissionDesk;
import org.troutpier.daemon.claim.ClaimKeeper;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.upstream.CancelKeeper;
import org.troutpier.daemon.upstream.Engines;

/**
 * What every request's life calls on. Immutable and thread safe.
 *
 * @param node what every part of the router shares
 * @param desk decides who starts; control thread only
 * @param claims takes and settles claims
 * @param engines the model engines
 * @param cancels cancels attempts; control thread only
 * @param budget bounds retries
 * @param registry the requests that this router carries
 */
public record LifeServices(
        Node node,
        AdmissionDesk desk,
        ClaimKeeper claims,
        Engines engines,
        CancelKeeper cancels,
        RetryBudget budget,
        LifeRegistry registry) {}

package org.troutpier.daemon.waiting;

import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.FlowKey;

/**
 * The claim of a waiting request to capacity. Immutable and thread safe.
 *
 * @param tier the queue tier
 * @param flow the urgency and the organisation
 * @param latestStartMillis when the request has to start at the latest to meet its target,
 *     milliseconds on the loop's clock
 * @param cost the capacity that the request takes: tokens of memory, or calls
 */
public record Claim(QueueTier tier, FlowKey flow, long latestStartMillis, double cost) {}

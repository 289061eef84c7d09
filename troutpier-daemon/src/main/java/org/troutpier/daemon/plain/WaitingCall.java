package org.troutpier.daemon.plain;

import org.troutpier.daemon.waiting.Claim;

/**
 * A call that waits for room. Immutable; confined to the traffic loop.
 *
 * @param call the call
 * @param listener receives the outcome
 * @param claim the claim of the call
 * @param draw the part of its organisation's waiting calls that precede it
 * @param arrivedAt when it was submitted, milliseconds on the loop's clock
 * @param waitsUntil when it is refused at the latest, milliseconds on the loop's clock
 */
record WaitingCall(
        PlainCall call,
        PlainCall.Listener listener,
        Claim claim,
        double draw,
        long arrivedAt,
        long waitsUntil) {}

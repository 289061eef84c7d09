package org.troutpier.daemon.serving;

import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Speaks to upstreams through another port, and gives nothing back to those that have asked for a
 * back-off: places and prompts lapse by themselves. Other calls are admitted before they come here.
 * Confined to the traffic loop.
 *
 * @param port carries the calls out
 * @param backOffMillis returns for how long an upstream wants no call, milliseconds
 */
public record BackOffAwarePort(UpstreamPort port, ToLongFunction<UpstreamEntry> backOffMillis)
        implements UpstreamPort {

    /** {@inheritDoc} */
    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        return port.run(upstream, request, plan, listener);
    }

    /** {@inheritDoc} */
    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        return port.prefill(upstream, request, plan, listener);
    }

    /** {@inheritDoc} */
    @Override
    public Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener) {
        return port.reserve(upstream, tokens, millis, listener);
    }

    /** {@inheritDoc} */
    @Override
    public void release(UpstreamEntry upstream, Reservation place) {
        if (backOffMillis.applyAsLong(upstream) == 0) {
            port.release(upstream, place);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void discard(StoredPrompt prompt) {
        if (backOffMillis.applyAsLong(prompt.upstream()) == 0) {
            port.discard(prompt);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {
        port.probe(upstream, listener);
    }
}

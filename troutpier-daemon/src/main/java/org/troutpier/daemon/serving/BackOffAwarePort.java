package org.troutpier.daemon.serving;

import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Port that does not release reservations or discard prompts at upstreams in a back-off, where they
 * expire by themselves. All other calls are delegated: they pass the admission before they come
 * here. Confined to the traffic loop.
 *
 * @param port the delegate
 * @param backOffMillis returns the remaining back-off of an upstream, milliseconds
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
    public void release(UpstreamEntry upstream, Reservation reservation) {
        if (backOffMillis.applyAsLong(upstream) == 0) {
            port.release(upstream, reservation);
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

package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;

/**
 * Engines that prefill a prompt in 20 ms, except during a pause, and decode engines that write one
 * event. Confined to the test's thread.
 */
final class PausingPrefillEngines extends FakePort {

    static final long PREFILL_MILLIS = 20;

    /** A pause that never ends. */
    static final long FOR_GOOD = Long.MAX_VALUE;

    private static final long RUN_MILLIS = 20;

    private final ManualClock mTime;

    private final Map<UpstreamId, Pause> mPauses = new HashMap<>();

    private record Pause(long from, long until) {}

    PausingPrefillEngines(ManualClock time) {
        mTime = time;
    }

    /** Has an engine pause, from and until times of the clock. */
    void pause(UpstreamEntry engine, long from, long until) {
        mPauses.put(engine.id(), new Pause(from, until));
    }

    @Override
    public Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener) {
        super.prefill(upstream, request, plan, listener);
        Sent sent = mPrefillCalls.get(mPrefillCalls.size() - 1);
        long due = mTime.millis() + PREFILL_MILLIS;
        Pause pause = mPauses.getOrDefault(upstream.id(), new Pause(0, 0));
        long at = due < pause.from() ? due : Math.max(due, pause.until());
        if (at != FOR_GOOD) {
            String handle = "handle " + mPrefillCalls.size();
            at(at, sent, () -> listener.onResult(new StoredPrompt(upstream, handle)));
        }
        return sent;
    }

    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        super.run(upstream, request, plan, listener);
        Sent sent = mRuns.get(mRuns.size() - 1);
        at(
                mTime.millis() + RUN_MILLIS,
                sent,
                () -> {
                    listener.onHead(new Head(200, new DefaultHttpHeaders(), Verdict.SUCCESS, true));
                    listener.onPart("id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
                    listener.onEnd();
                });
        return sent;
    }

    private void at(long millis, Sent sent, Runnable action) {
        mTime.loop()
                .schedule(
                        () -> {
                            if (!sent.mAborted) {
                                action.run();
                            }
                        },
                        millis - mTime.millis());
    }
}

package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.node.Control;
import org.troutpier.daemon.role.RoleController;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.serving.TrafficLoop;
import org.troutpier.daemon.serving.UpstreamLoads;

/**
 * Reports this router's load to the others: soon after it changed, and now and then when it did
 * not. Confined to the traffic loop.
 */
public final class LoadReporter {

    /** How often it is looked whether the load changed, milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /** After how many looks an unchanged load is reported again. */
    private static final int LOOKS_UNCHANGED = 10;

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** What is under way. */
    private final UpstreamLoads mLoads;

    /** What was asked lately. */
    private final DemandMeter mDemand;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** Decides engines' roles, if this router does. */
    private final RoleController mRoles;

    /** The control thread, where reports are sent. */
    private final Control mControl;

    /** Sends reports. */
    private final PeerExchange mExchange;

    /** The use that was reported last. */
    private Map<UpstreamId, UpstreamUse> mReported = new HashMap<>();

    /** How many looks there were since the last report. */
    private int mLooks;

    /**
     * Creates a reporter.
     *
     * @param loop the traffic loop
     * @param loads what is under way
     * @param demand what was asked lately
     * @param configuration the version in force
     * @param roles decides engines' roles, if this router does
     * @param control the control thread
     * @param exchange sends reports
     */
    public LoadReporter(
            TrafficLoop loop,
            UpstreamLoads loads,
            DemandMeter demand,
            CurrentConfiguration configuration,
            RoleController roles,
            Control control,
            PeerExchange exchange) {
        mLoop = loop;
        mLoads = loads;
        mDemand = demand;
        mConfiguration = configuration;
        mRoles = roles;
        mControl = control;
        mExchange = exchange;
    }

    /** Starts to report. */
    public void start() {
        mLoads.onMemoryTaken(this::report);
        mLoop.later(this::look, LOOK_MILLIS);
    }

    /** Reports if there is something to tell. */
    private void look() {
        mLoop.later(this::look, LOOK_MILLIS);
        mLoads.changing(mRoles.changing());
        Map<UpstreamId, UpstreamUse> uses = mLoads.uses();
        mLooks++;
        if (mLooks >= LOOKS_UNCHANGED || !uses.equals(mReported)) {
            report();
        }
    }

    /** Reports now. */
    private void report() {
        mLooks = 0;
        Map<UpstreamId, UpstreamUse> uses = mLoads.uses();
        mReported = uses;
        LoadReport report =
                new LoadReport(
                        mConfiguration.version(),
                        1,
                        mRoles.holds(),
                        mRoles.changing(),
                        mLoads.refusing(),
                        uses,
                        mDemand.publish(mLoop.millis()));
        mControl.execute(() -> mExchange.tell(report));
    }
}

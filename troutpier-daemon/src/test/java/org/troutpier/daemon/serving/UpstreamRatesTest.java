package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.AnnouncedRate;
import org.troutpier.daemon.limit.NamedRate;
import org.troutpier.daemon.limit.OthersRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUse;
import org.troutpier.daemon.node.ManualTime;

/** What is known of the rates that upstreams name. */
public final class UpstreamRatesTest {

    private static final UpstreamEntry UPSTREAM = Entries.plain("web", "hall-a");
    private static final UpstreamIncarnation ID = UPSTREAM.incarnation();
    private static final int WORK_MILLIS = 50;

    private ManualTime mTime;
    private MetricRegistry mMetrics;
    private RateReport mReported;
    private int mRouters;
    private int mKnown;
    private UpstreamRates mRates;

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mTime.pass(100_000);
        mMetrics = new MetricRegistry();
        mReported = RateReport.NONE;
        mRouters = 0;
        mKnown = 1;
        OthersRates others =
                new OthersRates() {
                    @Override
                    public RateReport rate(UpstreamIncarnation upstream, long now) {
                        return upstream.equals(ID) ? mReported : RateReport.NONE;
                    }

                    @Override
                    public int routers() {
                        return mRouters;
                    }
                };
        mRates =
                new UpstreamRates(
                        mTime.loop(), mTime::millis, new Random(1), others, () -> mKnown, mMetrics);
    }

    private void answer(AnnouncedRate rate, UpstreamPort.Verdict verdict, long tookMillis) {
        mRates.heard(UPSTREAM, rate, verdict, tookMillis);
    }

    private void answer(AnnouncedRate rate) {
        mTime.pass(WORK_MILLIS + 1);
        answer(rate, UpstreamPort.Verdict.SUCCESS, WORK_MILLIS);
    }

    private List<Double> rates() {
        return mRates.standings().stream().map(UpstreamRates.Standing::perSecond).toList();
    }

    @Test
    public void aRateHoldsFromTheAnswerThatNamesItToTheAnswerThatDoesNot() {
        assertEquals(rates(), List.of());
        answer(AnnouncedRate.of(3.6));
        assertEquals(rates(), List.of(3.6));
        answer(AnnouncedRate.of(5));
        assertEquals(rates(), List.of(5.0));
        answer(AnnouncedRate.NONE);
        assertEquals(rates(), List.of());
    }

    @Test
    public void anAnswerToACallThatWasSentBeforeTheRateWasNamedDoesNotEndIt() {
        answer(AnnouncedRate.of(3.6));
        mTime.pass(20);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 40);
        assertEquals(rates(), List.of(3.6));
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 10);
        assertEquals(rates(), List.of());
    }

    @Test
    public void onlyAnAnswerOfTheUpstreamItselfCounts() {
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.OTHER_UPSTREAM, 0);
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.FOREIGN, 0);
        assertEquals(rates(), List.of());
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.NOT_STARTED, 0);
        assertEquals(rates(), List.of(3.6));
        mTime.pass(100);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.NOT_STARTED, 0);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.FOREIGN, 0);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.OWN_FAILURE, 0);
        assertEquals(rates(), List.of(3.6));
    }

    @Test
    public void whatCannotBeReadChangesNothingAndIsCounted() {
        answer(AnnouncedRate.of(3.6));
        answer(AnnouncedRate.UNREADABLE);
        assertEquals(rates(), List.of(3.6));
        assertEquals(mMetrics.counter("upstream.web.rate-unreadable").getCount(), 1);
        assertEquals(mMetrics.counter("upstream.web.rate-named").getCount(), 1);
    }

    @Test
    public void theStartThatFollowsIsNotHeldToTheRate() {
        UpstreamEntry again = Entries.startedAt(UPSTREAM, 7);
        answer(AnnouncedRate.of(3.6));
        mRates.heard(again, AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 0);
        assertEquals(rates(), List.of(3.6));
        assertEquals(mRates.standings().get(0).upstream(), ID.toString());
    }

    @Test
    public void whatAnotherRouterHeardLaterHoldsHere() {
        answer(AnnouncedRate.of(3.6));
        mTime.pass(1000);
        mReported = new RateReport(new NamedRate(2, 100), new RecentUse(4, 1, 9));
        assertEquals(rates(), List.of(2.0));
        assertEquals(mRates.standings().get(0).elsewhere(), 4);
        mReported = new RateReport(new NamedRate(NamedRate.UNLIMITED, 0), RecentUse.NONE);
        mTime.pass(200);
        assertEquals(rates(), List.of());
        mReported = new RateReport(new NamedRate(3.6, 5000), RecentUse.NONE);
        assertEquals(rates(), List.of(), "an earlier statement");
    }

    @Test
    public void onlyWhatWasHeardHereIsReportedAsHeard() {
        assertEquals(mRates.report(), Map.of());
        answer(AnnouncedRate.of(3.6));
        assertEquals(
                mRates.report(), Map.of(ID, new RateReport(new NamedRate(3.6, 0), RecentUse.NONE)));
        mTime.pass(1000);
        mReported = new RateReport(new NamedRate(2, 100), RecentUse.NONE);
        assertEquals(rates(), List.of(2.0));
        assertEquals(mRates.report(), Map.of());
        assertTrue(mRates.tryTake(UPSTREAM));
        assertEquals(
                mRates.report(),
                Map.of(ID, new RateReport(NamedRate.NEVER, new RecentUse(1, 1, 1))));
    }

    @Test
    public void aRateOfWhichNothingIsHeardForLongLapses() {
        answer(AnnouncedRate.of(3.6));
        mTime.pass(UpstreamRates.LAPSE_MILLIS - 1);
        assertEquals(rates(), List.of(3.6));
        mTime.pass(1);
        assertEquals(rates(), List.of());
        assertEquals(mRates.report(), Map.of());
    }

    @Test
    public void anUpstreamThatIsGoneIsForgottenOnceItsRateHasLapsed() {
        answer(AnnouncedRate.of(3.6));
        mRates.retain(Set.of());
        assertEquals(rates(), List.of(3.6), "the list may be away");
        mTime.pass(UpstreamRates.LAPSE_MILLIS);
        mRates.retain(Set.of());
        assertTrue(mRates.standings().isEmpty());
    }
}

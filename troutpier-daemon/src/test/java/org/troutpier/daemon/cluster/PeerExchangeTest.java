package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.quarantine.CrashRecord;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.TableFollower;
import org.troutpier.daemon.waiting.WaitingReport;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** Tests load reports between many routers over a network in memory. */
public final class PeerExchangeTest {

    private static final int MANY_ROUTERS = 40;
    private static final int HALLS = 3;
    private static final String TABLE = "table";
    private static final long ROUND_TRIP_MILLIS = 2;
    private static final UpstreamIncarnation ENGINE = UpstreamIncarnation.of("engine");
    private static final long RECOVERY_MILLIS = 8000;

    private ManualClock mTime;
    private static final RoutingConfiguration VERSION_ONE =
            new RoutingConfiguration(
                    1, List.of(), List.of(), List.of(), ServerLimits.DEFAULT, new byte[] {1});

    private Map<Incarnation, Router> mRouters;
    private Set<Set<Incarnation>> mCutLinks;

    /** A router and its links. */
    private final class Router implements PeerLinks {
        final CurrentConfiguration mConfiguration = new CurrentConfiguration();
        int mConfigurationsSent;

        final Member mSelf;
        final ManualClock.PausableControlExecutor mControl = mTime.control();
        final PeerLoads mLoads = new PeerLoads();
        final Set<Incarnation> mConnected = new HashSet<>();
        final List<SharedPage> mPages = new ArrayList<>();
        final List<String> mRefusals = new ArrayList<>();
        final List<CrashReport> mCrashes = new ArrayList<>();

        /** The leaving upstreams that others announced. */
        final List<UpstreamIncarnation> mLeaving = new ArrayList<>();

        final PeerExchange mExchange;
        final StreamOrigins mOrigins =
                new StreamOrigins(mControl, mTime::millis, new MetricRegistry());
        final TableKeys mTableKeys = new TableKeys();
        FakeRowStore mStore;
        PeerMesh.MessageListener mListener;
        boolean mDead;
        int mSent;
        int mMessagesReceived;

        Router(int number) {
            String name = String.format("router-%02d", number);
            Incarnation incarnation = Incarnation.create(new InstanceId(name));
            HallId hall = new HallId("hall-" + number % HALLS);
            Address address = new Address("127.0.0.1", 1000 + number);
            mSelf = new Member(incarnation, hall, address.toString(), false);
            Node node = TestNode.of(incarnation, hall, mControl, mTime::nanos);
            mExchange =
                    new PeerExchange(
                            node,
                            address,
                            (members, listener) -> {
                                mListener = listener;
                                return this;
                            },
                            mConfiguration,
                            bytes -> VERSION_ONE,
                            mLoads,
                            new PeerNoticeListener() {
                                @Override
                                public void onRequestsRefused(List<String> keys) {
                                    mRefusals.addAll(keys);
                                }

                                @Override
                                public void onUpstreamsCrashed(List<CrashReport> reports) {
                                    mCrashes.addAll(reports);
                                }

                                @Override
                                public void onUpstreamsLeaving(
                                        List<UpstreamIncarnation> upstreams) {
                                    mLeaving.addAll(upstreams);
                                }
                            });
            mExchange.setOrigins(mOrigins);
            mControl.scheduleWithFixedDelay(this::report, 100);
        }

        int mCalls = 1;

        /** The usage by organisations at this router. */
        UsageReport mUsage = UsageReport.NONE;

        /** The rates that upstreams announced to this router, and its usage. */
        Map<UpstreamIncarnation, RateReport> mRates = Map.of();

        private void report() {
            mExchange.publishLoad(
                    new LoadReport(
                            mConfiguration.version(),
                            1,
                            false,
                            0,
                            Set.of(),
                            Set.of(),
                            Map.of(ENGINE, UpstreamUsage.of(mCalls, 10)),
                            Map.of(),
                            mUsage,
                            mRates,
                            WaitingReport.NONE,
                            Map.of()));
        }

        private boolean reaches(Router other) {
            return !mDead
                    && !other.mDead
                    && !mCutLinks.contains(Set.of(mSelf.incarnation(), other.mSelf.incarnation()));
        }

        private void recordPage(PeerMessage message) {
            if (message instanceof PeerMessage.Page page) {
                mPages.add(page.page());
            }
        }

        /** Follows a table; {@code mStore.mSilent} decides whether its store answers. */
        private void follow(VersionedRows rows) {
            mStore = new FakeRowStore(rows);
            TableExchange.ForPages pages = new TableExchange.ForPages(mExchange.tables(), TABLE);
            TableFollower follower =
                    new TableFollower(
                            mControl,
                            mStore,
                            TABLE,
                            new TableFollower.PollTiming(1, 700, 1050, 400),
                            mTableKeys,
                            new TableExchange.ForWholeTable(pages),
                            mTime::millis);
            mExchange.tables().register(TABLE, follower);
            follower.start();
        }

        @Override
        public void connect(Member member) {
            Router other = mRouters.get(member.incarnation());
            if (other != null && other != this && reaches(other)) {
                mConnected.add(member.incarnation());
            }
        }

        @Override
        public boolean isConnected(Incarnation to) {
            Router other = mRouters.get(to);
            if (other == null || other.mDead) {
                mConnected.remove(to);
            }
            return mConnected.contains(to);
        }

        @Override
        public boolean send(Incarnation to, PeerMessage message) {
            if (!isConnected(to)) {
                return false;
            }
            mSent++;
            mConfigurationsSent += message instanceof PeerMessage.Configuration ? 1 : 0;
            Router other = mRouters.get(to);
            mTime.loop()
                    .schedule(
                            () -> {
                                if (reaches(other)) {
                                    other.recordPage(message);
                                    other.mMessagesReceived++;
                                    other.mControl.execute(
                                            () -> other.mListener.onMessage(mSelf, message));
                                }
                            },
                            ROUND_TRIP_MILLIS / 2);
            return true;
        }

        @Override
        public void sendAll(Collection<Incarnation> to, PeerMessage message) {
            to.forEach(each -> send(each, message));
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRouters = new LinkedHashMap<>();
        mCutLinks = new HashSet<>();
    }

    private void routers(int count) {
        for (int number = 0; number < count; number++) {
            Router router = new Router(number);
            mRouters.put(router.mSelf.incarnation(), router);
        }
        mRouters.values().forEach(this::register);
    }

    private void register(Router router) {
        Member self = router.mSelf;
        MemberRow row =
                new MemberRow(
                        self.incarnation().instance().value(),
                        self.incarnation().value(),
                        self.address(),
                        self.hall().value(),
                        10);
        mRouters.values()
                .forEach(each -> each.mExchange.updateMember(self.incarnation().instance(), row));
    }

    private List<Router> liveRouters() {
        return mRouters.values().stream().filter(router -> !router.mDead).toList();
    }

    private void assertAggregatesComplete() {
        List<Router> live = liveRouters();
        for (Router router : live) {
            int others = live.size() - 1;
            assertEquals(router.mLoads.peerCount(), others, "routers at " + router.mSelf);
            assertEquals(
                    router.mLoads.upstreamUsage(ENGINE).calls(),
                    others,
                    "calls at " + router.mSelf);
        }
    }

    @Test
    public void fewRoutersExchangeLoadsDirectly() {
        routers(8);
        mTime.advance(1000);
        assertAggregatesComplete();
    }

    @DataProvider
    static Object[][] fleetSizes() {
        return new Object[][] {{8}, {MANY_ROUTERS}};
    }

    @Test(dataProvider = "fleetSizes")
    public void theOriginOfAStreamIsKnownAfterTheLossOfItsRoutersHall(int count) {
        routers(count);
        mTime.advance(2000);
        RequestId attempt = new RequestId("a1");
        StreamOrigin origin = new StreamOrigin("notes", new SoftwareVersion("v1"));
        Router first = liveRouters().get(0);
        first.mOrigins.record(attempt, origin);
        mTime.advance(ROUND_TRIP_MILLIS);
        mRouters.values().stream()
                .filter(each -> each.mSelf.hall().equals(first.mSelf.hall()))
                .forEach(each -> each.mDead = true);
        for (Router router : liveRouters()) {
            List<StreamOrigins.Resolution> found = new ArrayList<>();
            router.mOrigins.resolve(Optional.of(attempt), "notes", found::add);
            router.mOrigins.resolve(Optional.of(new RequestId("a2")), "notes", found::add);
            mTime.advance(StreamOrigins.MAX_ASKS * StreamOrigins.ASK_MILLIS);
            assertEquals(found.get(0).origin(), Optional.of(origin), "at " + router.mSelf);
            assertEquals(found.get(1).source(), StreamOrigins.Source.NONE);
        }
    }

    private int configurationsSent() {
        return mRouters.values().stream().mapToInt(router -> router.mConfigurationsSent).sum();
    }

    @Test
    public void aVersionThatAllReadFromTheStoreIsNotForwarded() {
        routers(8);
        mTime.advance(1000);
        int apart = 0;
        for (Router router : mRouters.values()) {
            mTime.advance(apart++ % 3 * 10L);
            router.mConfiguration.adoptIfNewer(VERSION_ONE, "store");
        }
        mTime.advance(2000);
        assertEquals(configurationsSent(), 0);
    }

    @Test
    public void aRouterWithoutTheStoreReceivesTheVersionWithinASecond() {
        routers(8);
        mTime.advance(1000);
        Router last = mRouters.values().stream().skip(7).findFirst().orElseThrow();
        for (Router router : mRouters.values()) {
            if (router != last) {
                router.mConfiguration.adoptIfNewer(VERSION_ONE, "store");
            }
        }
        mTime.advance(1000);
        assertEquals(last.mConfiguration.version(), 1);
        assertTrue(configurationsSent() <= 7, "configurations sent " + configurationsSent());
    }

    @Test
    public void manyRoutersExchangeLoadsOverRelays() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        assertAggregatesComplete();
    }

    @Test
    public void aRoutersMessagesDoNotGrowWithTheFleet() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mSent = 0);
        mTime.advance(1000);
        List<Integer> sent =
                mRouters.values().stream().map(router -> router.mSent).sorted().toList();
        assertTrue(sent.get(MANY_ROUTERS / 2) <= 12, "messages a second at most routers " + sent);
        assertTrue(sent.get(MANY_ROUTERS - 1) <= 60, "messages a second at relays " + sent);
    }

    @Test
    public void anUnchangedLoadIsForwardedRarely() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mSent = 0);
        mTime.advance(1000);
        int most = mRouters.values().stream().mapToInt(router -> router.mSent).max().orElseThrow();
        assertTrue(most <= 80, "messages a second at a relay though nothing changed: " + most);
    }

    /**
     * Guards against reports that nothing uses: while the load of all routers changed all the time,
     * each of 40 routers received 20 reports a second although it made no decision.
     */
    @Test
    public void aRouterWithoutDecisionsReceivesFewReports() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mMessagesReceived = 0);
        for (int round = 0; round < 20; round++) {
            mRouters.values().forEach(router -> router.mCalls++);
            mTime.advance(100);
        }
        List<Integer> received =
                mRouters.values().stream()
                        .map(router -> router.mMessagesReceived)
                        .sorted()
                        .toList();
        assertTrue(
                received.get(MANY_ROUTERS - 1 - HALLS) <= 6, "messages in two seconds " + received);
    }

    private Router changeOneOfMany() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        Router changed = List.copyOf(mRouters.values()).get(MANY_ROUTERS - 1);
        changed.mCalls = 5;
        changed.report();
        return changed;
    }

    private int countAnswers(Collection<Router> routers) {
        int[] answers = {0};
        for (Router router : routers) {
            router.mControl.execute(() -> router.mExchange.refreshLoads(() -> answers[0]++));
        }
        mTime.advance(2 * ROUND_TRIP_MILLIS);
        return answers[0];
    }

    @Test
    public void aChangedLoadIsKnownImmediatelyAfterAQuery() {
        Router changed = changeOneOfMany();
        mTime.advance(60);
        assertEquals(countAnswers(liveRouters()), MANY_ROUTERS);
        for (Router router : liveRouters()) {
            int calls = router == changed ? MANY_ROUTERS - 1 : MANY_ROUTERS - 2 + changed.mCalls;
            assertEquals(
                    router.mLoads.upstreamUsage(ENGINE).calls(), calls, "calls at " + router.mSelf);
        }
    }

    @Test
    public void aLoadIsKnownImmediatelyInItsHallAfterAQuery() {
        Router changed = changeOneOfMany();
        mTime.advance(ROUND_TRIP_MILLIS / 2);
        List<Router> peers = new ArrayList<>(liveRouters());
        peers.removeIf(router -> !router.mSelf.hall().equals(changed.mSelf.hall()));
        peers.remove(changed);
        assertEquals(countAnswers(peers), peers.size());
        for (Router router : peers) {
            int calls = MANY_ROUTERS - 2 + changed.mCalls;
            assertEquals(
                    router.mLoads.upstreamUsage(ENGINE).calls(), calls, "calls at " + router.mSelf);
        }
    }

    @Test
    public void aDeadOrFrozenRelayIsReplaced() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        all.get(0).mDead = true;
        all.get(1).mControl.pause(true);
        mTime.advance(RECOVERY_MILLIS);
        all.get(1).mDead = true;
        mTime.advance(RECOVERY_MILLIS);
        assertAggregatesComplete();
    }

    /** Publishes something at one router, and expects that all others receive it immediately. */
    private <T> void assertReachesAllImmediately(
            T notice, BiConsumer<PeerExchange, T> report, Function<Router, List<T>> received) {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        report.accept(all.get(MANY_ROUTERS - 1).mExchange, notice);
        mTime.advance(20);
        for (Router router : all.subList(0, MANY_ROUTERS - 1)) {
            assertEquals(received.apply(router), List.of(notice), "reported to " + router.mSelf);
        }
    }

    @Test
    public void aCrashIsAnnouncedToAllImmediately() {
        CrashReport report =
                new CrashReport(
                        RequestFingerprint.of("host", "/path", new byte[0]),
                        new CrashRecord(0, Set.of(ENGINE)));
        assertReachesAllImmediately(report, PeerExchange::announceCrash, router -> router.mCrashes);
    }

    @Test
    public void aLeavingUpstreamIsAnnouncedToAllImmediately() {
        assertReachesAllImmediately(
                ENGINE, PeerExchange::announceLeaving, router -> router.mLeaving);
    }

    @Test
    public void anAnnouncedRateAndItsUsageAreCountedOnceAtEachRouter() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        RecentUsage one = new RecentUsage(1, 1, 2);
        RateReport sent = new RateReport(LastAnnouncedRate.NEVER, one, List.of(2L));
        all.forEach(router -> router.mRates = Map.of(ENGINE, sent));
        all.get(MANY_ROUTERS - 1).mRates =
                Map.of(ENGINE, new RateReport(new LastAnnouncedRate(3.6, 100), one, List.of(2L)));
        mTime.advance(1000);
        for (Router router : all) {
            router.mExchange.refreshLoads(() -> {});
        }
        mTime.advance(20);
        for (Router router : all.subList(0, MANY_ROUTERS - 1)) {
            RateReport rate = router.mLoads.rate(ENGINE, mTime.millis());
            assertEquals(rate.named().perSecond(), 3.6, "named at " + router.mSelf);
            assertTrue(rate.named().ageMillis() >= 100, "age " + rate.named());
            assertTrue(rate.named().ageMillis() < 1000, "age " + rate.named());
            assertEquals(
                    rate.use(),
                    new RecentUsage(MANY_ROUTERS - 1, MANY_ROUTERS - 1, 2 * (MANY_ROUTERS - 1)));
            assertEquals(rate.asked(), List.of(2L * (MANY_ROUTERS - 1)));
        }
    }

    @Test
    public void aRefusalIsAnnouncedToAll() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        all.get(MANY_ROUTERS - 1).mExchange.announceRefusal("key");
        mTime.advance(500);
        for (Router router : all.subList(0, MANY_ROUTERS - 1)) {
            assertTrue(router.mRefusals.contains("key"), "sent to " + router.mSelf);
        }
    }

    @Test
    public void aTableReaderSharesPagesWithItsHallOnly() {
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        List<Row> rows = List.of(new Row(TABLE, "", "k", new byte[0], 2, false));
        all.forEach(
                router ->
                        new TableExchange.ForPages(router.mExchange.tables(), TABLE)
                                .publish(1, 2, 0, rows));
        mTime.advance(100);
        for (int number = 0; number < MANY_ROUTERS; number++) {
            int expected = number < HALLS ? 0 : 1;
            assertEquals(all.get(number).mPages.size(), expected, "pages at " + number);
        }
    }

    /** Has all routers follow a table with one entry, and waits until they know it. */
    private VersionedRows followTable() {
        VersionedRows rows = new VersionedRows();
        rows.put(new Key(TABLE, "", "leaving"), "");
        mTime.advance(2000);
        for (Router router : mRouters.values()) {
            router.follow(rows);
            mTime.advance(90);
        }
        mTime.advance(3000);
        return rows;
    }

    private static void assertKeys(List<Router> routers, String... keys) {
        for (Router router : routers) {
            assertEquals(router.mTableKeys.mKeys, Set.of(keys), "known at " + router.mSelf);
        }
    }

    /**
     * Guards against routers that go on sending work to an upstream that has left: three of eight
     * routers got no answer from the store for twelve seconds, and dropped the upstream 10 s and
     * more after the others. With the table from the others, they drop it within 1.9 s of its
     * leaving.
     */
    @Test
    public void routersWithoutTheStoreReceiveTheTableFromOthers() {
        routers(8);
        VersionedRows rows = followTable();
        List<Router> all = List.copyOf(mRouters.values());
        all.subList(0, 3).forEach(router -> router.mStore.mSilent = true);
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(1900);
        assertKeys(all);
        rows.put(new Key(TABLE, "", "coming"), "");
        rows.forget();
        mTime.advance(1900);
        assertKeys(all, "coming");
    }

    @Test
    public void aTableReceivedFromOthersHasNoGapWhenTheStoreReturns() {
        routers(8);
        VersionedRows rows = followTable();
        Router unanswered = List.copyOf(mRouters.values()).get(2);
        unanswered.mStore.mSilent = true;
        mTime.advance(5000);
        unanswered.mStore.mSilent = false;
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(800);
        assertKeys(List.of(unanswered));
        assertTrue(
                mTime.millis() - unanswered.mTableKeys.mUnbrokenSince > 5800, "there was no gap");
    }

    @Test
    public void aHallWithoutTheStoreReceivesTheTableOverItsRelay() {
        routers(MANY_ROUTERS);
        VersionedRows rows = followTable();
        List<Router> all = List.copyOf(mRouters.values());
        for (int number = 0; number < MANY_ROUTERS; number += HALLS) {
            all.get(number).mStore.mSilent = true;
        }
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(4000);
        assertKeys(all);
    }

    @Test
    public void routersWithoutTheStoreDoNotKeepAnOldTableAlive() {
        routers(8);
        VersionedRows rows = followTable();
        List<Router> all = List.copyOf(mRouters.values());
        all.forEach(router -> router.mStore.mSilent = true);
        mTime.advance(10_000);
        all.forEach(router -> router.mStore.mSilent = false);
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(1200);
        assertKeys(all);
        for (Router router : all) {
            assertTrue(
                    mTime.millis() - router.mTableKeys.mUnbrokenSince < 1300,
                    "a gap at " + router.mSelf);
        }
    }

    @Test
    public void aggregatesRecoverAfterRandomKillsFreezesAndCuts() {
        long seed = System.nanoTime();
        System.out.println("PeerExchangeTest seed " + seed);
        injectFaults(seed);
    }

    private void injectFaults(long seed) {
        Random random = new Random(seed);
        routers(MANY_ROUTERS);
        mTime.advance(2000);
        for (int round = 0; round < 12; round++) {
            List<Router> live = liveRouters();
            Router frozen = live.get(random.nextInt(live.size()));
            Router killed = live.get(random.nextInt(live.size()));
            Router one = live.get(random.nextInt(live.size()));
            Router other = live.get(random.nextInt(live.size()));
            frozen.mControl.pause(true);
            if (one != other) {
                mCutLinks.add(Set.of(one.mSelf.incarnation(), other.mSelf.incarnation()));
            }
            killed.mDead = true;
            mTime.advance(random.nextInt(3000));
            frozen.mControl.pause(false);
            mTime.advance(random.nextInt(3000));
            mCutLinks.clear();
            mTime.advance(RECOVERY_MILLIS);
            assertAggregatesComplete();
        }
    }

    /**
     * Guards against a standby that stays a relay: one that had taken over while the relay was
     * unreachable then received nothing from any relay, so it never stepped down.
     */
    @Test
    public void aStandbyRelayStepsDown() {
        injectFaults(54);
    }

    @Test
    public void aStandbyRelayStepsDownInAnotherSequence() {
        injectFaults(4_387_585_923_097L);
    }
}

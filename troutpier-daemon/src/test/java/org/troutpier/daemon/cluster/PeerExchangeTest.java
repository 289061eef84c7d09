package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
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
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.TableFollower;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** Many routers that tell each other of their load, over a network in memory. */
public final class PeerExchangeTest {

    private static final int MANY = 40;
    private static final int HALLS = 3;
    private static final String TABLE = "table";
    private static final long ROUND_TRIP_MILLIS = 2;
    private static final UpstreamIncarnation ENGINE = UpstreamIncarnation.of("engine");
    private static final long SETTLED_MILLIS = 8000;

    private ManualClock mTime;
    private static final RoutingConfiguration VERSION_ONE =
            new RoutingConfiguration(
                    1, List.of(), List.of(), List.of(), ServerLimits.DEFAULT, new byte[] {1});

    private Map<Incarnation, Router> mRouters;
    private Set<Set<Incarnation>> mCuts;

    /** The keys of a table, and since when they are known without a break. */
    private static final class Keys implements TableFollower.Listener {

        private final Set<String> mListed = new HashSet<>();
        private long mSince;

        @Override
        public void onConfirmed(boolean own, long since) {
            mSince = since;
        }

        @Override
        public void onSnapshot(List<Row> rows) {
            mListed.clear();
            onChanges(rows);
        }

        @Override
        public void onChanges(List<Row> rows) {
            for (Row row : rows) {
                if (row.deleted()) {
                    mListed.remove(row.key());
                } else {
                    mListed.add(row.key());
                }
            }
        }

        @Override
        public void onStoreUnavailable() {}
    }

    /** One router and its links. */
    private final class Router implements PeerLinks {
        final CurrentConfiguration mConfiguration = new CurrentConfiguration();
        int mHandedOn;

        final Member mSelf;
        final ManualClock.PausableControlExecutor mControl = mTime.control();
        final PeerLoads mLoads = new PeerLoads();
        final Set<Incarnation> mConnected = new HashSet<>();
        final List<SharedPage> mPages = new ArrayList<>();
        final List<String> mRefused = new ArrayList<>();
        final List<CrashReport> mCrashed = new ArrayList<>();

        /** Upstreams that leave as others reported. */
        final List<UpstreamIncarnation> mLeaving = new ArrayList<>();

        final PeerExchange mExchange;
        final Keys mKeys = new Keys();
        FakeRowStore mStore;
        PeerMesh.MessageListener mHearer;
        boolean mDead;
        int mSent;
        int mHeardMessages;

        Router(int number) {
            String name = String.format("router-%02d", number);
            Incarnation incarnation = Incarnation.start(new InstanceId(name));
            HallId hall = new HallId("hall-" + number % HALLS);
            Address address = new Address("127.0.0.1", 1000 + number);
            mSelf = new Member(incarnation, hall, address.toString(), false);
            Node node = TestNode.of(incarnation, hall, mControl, mTime::nanos);
            mExchange =
                    new PeerExchange(
                            node,
                            address,
                            (members, hearer) -> {
                                mHearer = hearer;
                                return this;
                            },
                            mConfiguration,
                            bytes -> VERSION_ONE,
                            mLoads,
                            new PeerNoticeListener() {
                                @Override
                                public void onRequestsRefused(List<String> keys) {
                                    mRefused.addAll(keys);
                                }

                                @Override
                                public void onUpstreamsCrashed(List<CrashReport> reports) {
                                    mCrashed.addAll(reports);
                                }

                                @Override
                                public void onUpstreamsLeaving(
                                        List<UpstreamIncarnation> upstreams) {
                                    mLeaving.addAll(upstreams);
                                }
                            });
            mControl.scheduleWithFixedDelay(this::report, 100);
        }

        int mCalls = 1;

        /** What organisations used here. */
        UsageReport mUse = UsageReport.NONE;

        /** What was heard and sent here of upstreams that name rates. */
        Map<UpstreamIncarnation, RateReport> mRates = Map.of();

        private void report() {
            mExchange.tell(
                    new LoadReport(
                            mConfiguration.version(),
                            1,
                            false,
                            0,
                            Set.of(),
                            Set.of(),
                            Map.of(ENGINE, UpstreamUse.of(mCalls, 10)),
                            Map.of(),
                            mUse,
                            mRates));
        }

        private boolean reaches(Router other) {
            return !mDead
                    && !other.mDead
                    && !mCuts.contains(Set.of(mSelf.incarnation(), other.mSelf.incarnation()));
        }

        private void note(PeerMessage message) {
            if (message instanceof PeerMessage.Page page) {
                mPages.add(page.page());
            }
        }

        /** Follows a table whose store answers this router, or does not. */
        private void follow(VersionedRows rows) {
            mStore = new FakeRowStore(rows);
            TableExchange.PageSharer pages =
                    new TableExchange.PageSharer(mExchange.tables(), TABLE);
            TableFollower follower =
                    new TableFollower(
                            mControl,
                            mStore,
                            TABLE,
                            new TableFollower.PollTiming(1, 700, 1050, 400),
                            mKeys,
                            new TableExchange.RequestingSharer(pages),
                            mTime::millis);
            mExchange.tables().follow(TABLE, follower);
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
            mHandedOn += message instanceof PeerMessage.Configuration ? 1 : 0;
            Router other = mRouters.get(to);
            mTime.loop()
                    .schedule(
                            () -> {
                                if (reaches(other)) {
                                    other.note(message);
                                    other.mHeardMessages++;
                                    other.mControl.execute(
                                            () -> other.mHearer.onMessage(mSelf, message));
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
        mCuts = new HashSet<>();
    }

    private void routers(int count) {
        for (int number = 0; number < count; number++) {
            Router router = new Router(number);
            mRouters.put(router.mSelf.incarnation(), router);
        }
        mRouters.values().forEach(this::list);
    }

    private void list(Router router) {
        Member self = router.mSelf;
        MemberRow row =
                new MemberRow(
                        self.incarnation().instance().value(),
                        self.incarnation().value(),
                        self.address(),
                        self.hall().value(),
                        10);
        mRouters.values()
                .forEach(each -> each.mExchange.listed(self.incarnation().instance(), row));
    }

    private List<Router> living() {
        return mRouters.values().stream().filter(router -> !router.mDead).toList();
    }

    private void assertAllKnowAll() {
        List<Router> living = living();
        for (Router router : living) {
            int others = living.size() - 1;
            assertEquals(router.mLoads.peerCount(), others, "routers at " + router.mSelf);
            assertEquals(
                    router.mLoads.upstreamUse(ENGINE).calls(), others, "calls at " + router.mSelf);
        }
    }

    @Test
    public void fewRoutersKnowOfEachOther() {
        routers(8);
        mTime.advance(1000);
        assertAllKnowAll();
    }

    private int handedOn() {
        return mRouters.values().stream().mapToInt(router -> router.mHandedOn).sum();
    }

    @Test
    public void aVersionThatAllReadThemselvesIsHandedOnToNobody() {
        routers(8);
        mTime.advance(1000);
        int apart = 0;
        for (Router router : mRouters.values()) {
            mTime.advance(apart++ % 3 * 10L);
            router.mConfiguration.adoptIfNewer(VERSION_ONE, "store");
        }
        mTime.advance(2000);
        assertEquals(handedOn(), 0);
    }

    @Test
    public void aRouterThatDoesNotReadTheStoreIsHandedTheVersionWithinASecond() {
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
        assertTrue(handedOn() <= 7, "handed on " + handedOn());
    }

    @Test
    public void manyRoutersKnowOfEachOtherOverRelays() {
        routers(MANY);
        mTime.advance(2000);
        assertAllKnowAll();
    }

    @Test
    public void aRoutersMessagesDoNotGrowWithAllOthers() {
        routers(MANY);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mSent = 0);
        mTime.advance(1000);
        List<Integer> sent =
                mRouters.values().stream().map(router -> router.mSent).sorted().toList();
        assertTrue(sent.get(MANY / 2) <= 12, "messages a second at most routers " + sent);
        assertTrue(sent.get(MANY - 1) <= 60, "messages a second at relays " + sent);
    }

    @Test
    public void anUnchangedLoadIsHandedOnSeldom() {
        routers(MANY);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mSent = 0);
        mTime.advance(1000);
        int most = mRouters.values().stream().mapToInt(router -> router.mSent).max().orElseThrow();
        assertTrue(most <= 80, "messages a second at a relay though nothing changed: " + most);
    }

    /**
     * Where the load of all changed all the time, each of 40 routers heard 20 reports a second
     * though it decided nothing.
     */
    @Test
    public void aRouterThatDecidesNothingHearsFewReports() {
        routers(MANY);
        mTime.advance(2000);
        mRouters.values().forEach(router -> router.mHeardMessages = 0);
        for (int round = 0; round < 20; round++) {
            mRouters.values().forEach(router -> router.mCalls++);
            mTime.advance(100);
        }
        List<Integer> heard =
                mRouters.values().stream().map(router -> router.mHeardMessages).sorted().toList();
        assertTrue(heard.get(MANY - 1 - HALLS) <= 6, "messages in two seconds " + heard);
    }

    private Router oneOfManyThatChanges() {
        routers(MANY);
        mTime.advance(2000);
        Router changed = List.copyOf(mRouters.values()).get(MANY - 1);
        changed.mCalls = 5;
        changed.report();
        return changed;
    }

    private int asked(Collection<Router> routers) {
        int[] answers = {0};
        for (Router router : routers) {
            router.mControl.execute(() -> router.mExchange.refreshLoads(() -> answers[0]++));
        }
        mTime.advance(2 * ROUND_TRIP_MILLIS);
        return answers[0];
    }

    @Test
    public void aChangedLoadIsKnownAtOnceToWhoAsks() {
        Router changed = oneOfManyThatChanges();
        mTime.advance(60);
        assertEquals(asked(living()), MANY);
        for (Router router : living()) {
            int calls = router == changed ? MANY - 1 : MANY - 2 + changed.mCalls;
            assertEquals(
                    router.mLoads.upstreamUse(ENGINE).calls(), calls, "calls at " + router.mSelf);
        }
    }

    @Test
    public void aLoadIsKnownAtOnceToRoutersOfTheSameHallThatAsk() {
        Router changed = oneOfManyThatChanges();
        mTime.advance(ROUND_TRIP_MILLIS / 2);
        List<Router> mates = new ArrayList<>(living());
        mates.removeIf(router -> !router.mSelf.hall().equals(changed.mSelf.hall()));
        mates.remove(changed);
        assertEquals(asked(mates), mates.size());
        for (Router router : mates) {
            int calls = MANY - 2 + changed.mCalls;
            assertEquals(
                    router.mLoads.upstreamUse(ENGINE).calls(), calls, "calls at " + router.mSelf);
        }
    }

    @Test
    public void aRelayThatDiesOrStandsStillIsReplaced() {
        routers(MANY);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        all.get(0).mDead = true;
        all.get(1).mControl.pause(true);
        mTime.advance(SETTLED_MILLIS);
        all.get(1).mDead = true;
        mTime.advance(SETTLED_MILLIS);
        assertAllKnowAll();
    }

    /** Has one router report something, and expects that all others have it at once. */
    private <T> void assertReachesAllAtOnce(
            T notice, BiConsumer<PeerExchange, T> report, Function<Router, List<T>> received) {
        routers(MANY);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        report.accept(all.get(MANY - 1).mExchange, notice);
        mTime.advance(20);
        for (Router router : all.subList(0, MANY - 1)) {
            assertEquals(received.apply(router), List.of(notice), "reported to " + router.mSelf);
        }
    }

    @Test
    public void aRequestUnderWhichAnUpstreamEndedIsToldToAllAtOnce() {
        CrashReport report =
                new CrashReport(
                        RequestFingerprint.of("host", "/path", new byte[0]),
                        new CrashRecord(0, Set.of(ENGINE)));
        assertReachesAllAtOnce(report, PeerExchange::announceCrash, router -> router.mCrashed);
    }

    @Test
    public void anUpstreamThatSaysThatItLeavesIsReportedToAllAtOnce() {
        assertReachesAllAtOnce(ENGINE, PeerExchange::announceLeaving, router -> router.mLeaving);
    }

    @Test
    public void aRateThatOneRouterHeardAndWhatAllSentIsKnownToAllOnce() {
        routers(MANY);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        RecentUsage one = new RecentUsage(1, 1, 2);
        RateReport sent = new RateReport(LastAnnouncedRate.NEVER, one, List.of(2L));
        all.forEach(router -> router.mRates = Map.of(ENGINE, sent));
        all.get(MANY - 1).mRates =
                Map.of(ENGINE, new RateReport(new LastAnnouncedRate(3.6, 100), one, List.of(2L)));
        mTime.advance(1000);
        for (Router router : all) {
            router.mExchange.refreshLoads(() -> {});
        }
        mTime.advance(20);
        for (Router router : all.subList(0, MANY - 1)) {
            RateReport rate = router.mLoads.rate(ENGINE, mTime.millis());
            assertEquals(rate.named().perSecond(), 3.6, "named at " + router.mSelf);
            assertTrue(rate.named().ageMillis() >= 100, "age " + rate.named());
            assertTrue(rate.named().ageMillis() < 1000, "age " + rate.named());
            assertEquals(rate.use(), new RecentUsage(MANY - 1, MANY - 1, 2 * (MANY - 1)));
            assertEquals(rate.asked(), List.of(2L * (MANY - 1)));
        }
    }

    @Test
    public void aRefusalIsToldToAll() {
        routers(MANY);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        all.get(MANY - 1).mExchange.announceRefusal("key");
        mTime.advance(500);
        for (Router router : all.subList(0, MANY - 1)) {
            assertTrue(router.mRefused.contains("key"), "told to " + router.mSelf);
        }
    }

    @Test
    public void theReaderOfAHallSharesWithItsHallOnly() {
        routers(MANY);
        mTime.advance(2000);
        List<Router> all = List.copyOf(mRouters.values());
        List<Row> rows = List.of(new Row(TABLE, "", "k", new byte[0], 2, false));
        all.forEach(
                router ->
                        new TableExchange.PageSharer(router.mExchange.tables(), TABLE)
                                .publish(1, 2, 0, rows));
        mTime.advance(100);
        for (int number = 0; number < MANY; number++) {
            int expected = number < HALLS ? 0 : 1;
            assertEquals(all.get(number).mPages.size(), expected, "pages at " + number);
        }
    }

    /** Has all follow a table with one entry, and lets them settle. */
    private VersionedRows followed() {
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

    private static void assertKnown(List<Router> routers, String... keys) {
        for (Router router : routers) {
            assertEquals(router.mKeys.mListed, Set.of(keys), "known at " + router.mSelf);
        }
    }

    /**
     * Three of eight routers got no answer of the store for twelve seconds, and sent work to an
     * upstream that had left all the while: 10 s and more after the others dropped it. Told by
     * them, they drop it within 1.9 s of its leaving.
     */
    @Test
    public void routersThatTheStoreDoesNotAnswerAreToldByTheOthers() {
        routers(8);
        VersionedRows rows = followed();
        List<Router> all = List.copyOf(mRouters.values());
        all.subList(0, 3).forEach(router -> router.mStore.mSilent = true);
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(1900);
        assertKnown(all);
        rows.put(new Key(TABLE, "", "coming"), "");
        rows.forget();
        mTime.advance(1900);
        assertKnown(all, "coming");
    }

    @Test
    public void oneThatWasToldAllTheWhileKnowsTheTableWithoutABreakWhenTheStoreAnswersAgain() {
        routers(8);
        VersionedRows rows = followed();
        Router unanswered = List.copyOf(mRouters.values()).get(2);
        unanswered.mStore.mSilent = true;
        mTime.advance(5000);
        unanswered.mStore.mSilent = false;
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(800);
        assertKnown(List.of(unanswered));
        assertTrue(mTime.millis() - unanswered.mKeys.mSince > 5800, "there was no break");
    }

    @Test
    public void aHallThatTheStoreDoesNotAnswerIsToldByItsRelays() {
        routers(MANY);
        VersionedRows rows = followed();
        List<Router> all = List.copyOf(mRouters.values());
        for (int number = 0; number < MANY; number += HALLS) {
            all.get(number).mStore.mSilent = true;
        }
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(4000);
        assertKnown(all);
    }

    @Test
    public void routersThatAreAllUnansweredDoNotKeepAnOldTableAlive() {
        routers(8);
        VersionedRows rows = followed();
        List<Router> all = List.copyOf(mRouters.values());
        all.forEach(router -> router.mStore.mSilent = true);
        mTime.advance(10_000);
        all.forEach(router -> router.mStore.mSilent = false);
        rows.drop(new Key(TABLE, "", "leaving"));
        mTime.advance(1200);
        assertKnown(all);
        for (Router router : all) {
            assertTrue(mTime.millis() - router.mKeys.mSince < 1300, "a break at " + router.mSelf);
        }
    }

    @Test
    public void atRandomTheSumsAreRightAgainAfterKillsFreezesAndCuts() {
        long seed = System.nanoTime();
        System.out.println("PeerExchangeTest seed " + seed);
        disturb(seed);
    }

    private void disturb(long seed) {
        Random random = new Random(seed);
        routers(MANY);
        mTime.advance(2000);
        for (int round = 0; round < 12; round++) {
            List<Router> living = living();
            Router frozen = living.get(random.nextInt(living.size()));
            Router killed = living.get(random.nextInt(living.size()));
            Router one = living.get(random.nextInt(living.size()));
            Router other = living.get(random.nextInt(living.size()));
            frozen.mControl.pause(true);
            if (one != other) {
                mCuts.add(Set.of(one.mSelf.incarnation(), other.mSelf.incarnation()));
            }
            killed.mDead = true;
            mTime.advance(random.nextInt(3000));
            frozen.mControl.pause(false);
            mTime.advance(random.nextInt(3000));
            mCuts.clear();
            mTime.advance(SETTLED_MILLIS);
            assertAllKnowAll();
        }
    }

    /**
     * A router that had taken a relay's place while it did not hear it was then answered by no
     * relay and so never gave the place up.
     */
    @Test
    public void aRouterThatStoodInForARelayGivesThePlaceUp() {
        disturb(54);
    }

    @Test
    public void aRouterThatStoodInForARelayGivesThePlaceUpToo() {
        disturb(4_387_585_923_097L);
    }
}

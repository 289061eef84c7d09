package org.troutpier.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;
import org.troutpier.common.declaration.ClassDeclaration.Kind;
import org.troutpier.common.declaration.ClassDeclaration.TableOutagePolicy;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Secret;
import org.troutpier.daemon.settings.DaemonSettings;
import org.troutpier.daemon.settings.DaemonSettings.AdmissionSettings;
import org.troutpier.daemon.settings.DaemonSettings.PairRule;
import org.troutpier.daemon.settings.DaemonSettings.PermitRule;
import org.troutpier.standins.engine.DecodeEngine;
import org.troutpier.standins.engine.DecodeModel;
import org.troutpier.standins.engine.PrefillEngine;
import org.troutpier.standins.engine.PrefillModel;
import org.troutpier.standins.fault.Fault;
import org.troutpier.standins.fault.RunLog;
import org.troutpier.standins.fault.StandinServer;
import org.troutpier.standins.platform.InstanceListStandin;
import org.troutpier.standins.platform.ObjectStandin;
import org.troutpier.standins.platform.TableStandin;
import org.troutpier.standins.service.PlainService;

/** Runs routers and stand-ins in one process for end-to-end tests. */
final class RouterTestRig implements AutoCloseable {

    static final String ADMINISTRATOR = "administrator";
    static final String CALLER = "association-caller";
    static final String OPERATOR = "association-operator";
    static final String TRUST_CALLER = "trust-caller";
    static final String TRUST_OPERATOR = "trust-operator";
    static final ServerLimits LIMITS = new ServerLimits(60, 200_000, 8192, 1500, 30_000);

    final EventLoopGroup mLoop = new NioEventLoopGroup(1);
    final EventLoopGroup mCallerLoop = new NioEventLoopGroup(1);
    final HttpClient mCalls = new HttpClient(mCallerLoop);
    final TableStandin mTable = new TableStandin(local(0), mLoop);
    final ObjectStandin mObjects = new ObjectStandin(local(0), mLoop);
    final InstanceListStandin mInstances = new InstanceListStandin(local(0), 100, mLoop);
    final List<PrefillEngine> mPrefills = new ArrayList<>();
    final List<DecodeEngine> mDecodes = new ArrayList<>();

    /** How long a stop of routers that are started from now on may take. */
    int mDrainMillis = 20_000;

    final List<PlainService> mServices = new ArrayList<>();
    final List<RouterDaemon> mRouters = new ArrayList<>();
    final List<Integer> mPeerPorts = new ArrayList<>();
    private PermitRule mPermits = PermitRule.LAGGING;
    private int mSlots = 20;

    static Address local(int port) {
        return new Address("127.0.0.1", port);
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    RouterTestRig withPermits(PermitRule permits) {
        mPermits = permits;
        return this;
    }

    RouterTestRig withEngines(int prefills, int decodes) {
        return withEngines(prefills, decodes, new DecodeModel(20, 8000, 100, 100, false));
    }

    RouterTestRig withEngines(int prefills, int decodes, DecodeModel model) {
        mSlots = model.slots();
        for (int number = 1; number <= prefills; number++) {
            mPrefills.add(
                    new PrefillEngine("prefill-" + number, local(0), PrefillModel.DEFAULT, mLoop));
        }
        for (int number = 1; number <= decodes; number++) {
            mDecodes.add(new DecodeEngine("decode-" + number, local(0), model, mLoop));
        }
        return this;
    }

    RouterTestRig withServices(int services) {
        for (int number = 1; number <= services; number++) {
            mServices.add(new PlainService("status-" + number, local(0), 5, 100, mLoop));
        }
        return this;
    }

    RouterTestRig withRouters(int routers) {
        for (int number = 0; number < routers; number++) {
            addRouter();
        }
        await(() -> mRouters.stream().allMatch(this::ready), "routers are ready");
        return this;
    }

    RouterDaemon addRouter() {
        int number = mRouters.size() + 1;
        int peerPort = freePort();
        mPeerPorts.add(peerPort);
        DaemonSettings settings =
                new DaemonSettings(
                        new InstanceId("router-" + number),
                        new HallId("lautoka"),
                        local(0),
                        local(0),
                        local(peerPort),
                        new Secret("a-secret-for-tests-only"),
                        Tokens.hash(ADMINISTRATOR),
                        new DaemonSettings.PlatformSettings(
                                url(mTable.server()),
                                url(mObjects.server()),
                                url(mInstances.server()),
                                400),
                        LIMITS,
                        new AdmissionSettings(mPermits, PairRule.PREDICTED, true),
                        1,
                        mDrainMillis);
        RouterDaemon router = new RouterDaemon(settings);
        mRouters.add(router);
        mInstances.register("router-" + number, router.operatorAddress().url("/healthz"));
        return router;
    }

    private static String url(StandinServer server) {
        return server.address().url("");
    }

    String operatorUrl(int router, String path) {
        return mRouters.get(router).operatorAddress().url(path);
    }

    String callerUrl(int router, String path) {
        return mRouters.get(router).callerAddress().url(path);
    }

    private boolean ready(RouterDaemon router) {
        return call(HttpCall.of("GET", router.operatorAddress().url("/readyz"))).isSuccessful();
    }

    RouterTestRig declared() {
        return declared(part(classes()));
    }

    RouterTestRig declared(DeclarationPart part) {
        await(
                () -> {
                    HttpReply reply = declare(0, ADMINISTRATOR, part);
                    return reply.isSuccessful();
                },
                "declarations are accepted");
        return this;
    }

    HttpReply declare(int router, String token, DeclarationPart part) {
        return call(
                HttpCall.of("POST", mRouters.get(router).operatorAddress().url("/v1/declarations"))
                        .withHeader("Authorization", "Bearer " + token)
                        .withJson(part)
                        .withTimeout(10_000));
    }

    HttpReply command(int router, String token, String text) {
        return call(
                HttpCall.of("POST", mRouters.get(router).operatorAddress().url("/v1/command"))
                        .withHeader("Authorization", "Bearer " + token)
                        .withJson(Map.of("text", text))
                        .withTimeout(10_000));
    }

    DeclarationPart part(List<ClassDeclaration> classes) {
        List<UpstreamDeclaration> upstreams = new ArrayList<>();
        mPrefills.forEach(
                one -> upstreams.add(upstream(one.server(), "prefill", upstreams.size())));
        mDecodes.forEach(one -> upstreams.add(upstream(one.server(), "decode", upstreams.size())));
        mServices.forEach(
                one -> upstreams.add(upstream(one.server(), "service", upstreams.size())));
        return new DeclarationPart(
                List.of(
                        partner("association", CALLER, OPERATOR),
                        partner("trust", TRUST_CALLER, TRUST_OPERATOR)),
                upstreams,
                classes);
    }

    static PartnerDeclaration partner(String id, String caller, String operator) {
        return new PartnerDeclaration(
                new PartnerId(id),
                50,
                List.of(Tokens.hash(caller)),
                List.of(Tokens.hash(operator)),
                null,
                null);
    }

    UpstreamDeclaration upstream(StandinServer server, String role, int number) {
        return new UpstreamDeclaration(
                new UpstreamId(role + "-" + number),
                new PartnerId("association"),
                Role.valueOf(role.toUpperCase(java.util.Locale.ROOT)),
                new HallId("lautoka"),
                server.address(),
                role.equals("service") ? "status" : "model",
                mSlots,
                null,
                false);
    }

    static List<ClassDeclaration> classes() {
        return List.of(
                completion("repair-note", "association", 20_000),
                completion("summary", "trust", 20_000),
                service("machine-status", true, 3000),
                service("transcript", true, 60_000),
                service("parts-status", false, 1500));
    }

    static ClassDeclaration completion(String name, String partner, int deadlineMillis) {
        return new ClassDeclaration(
                new ClassName(name),
                new PartnerId(partner),
                Kind.COMPLETION,
                "model",
                true,
                false,
                0,
                0,
                deadlineMillis,
                TableOutagePolicy.REFUSE,
                AnswerCommit.BEFORE_END_MARK,
                600,
                100_000);
    }

    static ClassDeclaration service(String name, boolean repeatable, int deadlineMillis) {
        return new ClassDeclaration(
                new ClassName(name),
                new PartnerId("association"),
                Kind.SERVICE,
                "status",
                repeatable,
                false,
                deadlineMillis,
                0,
                deadlineMillis,
                TableOutagePolicy.REFUSE,
                AnswerCommit.BEFORE_END_MARK,
                600,
                50_000);
    }

    /** The response that a caller received. */
    static final class Outcome implements ReplyListener {
        volatile int mStatus;
        volatile String mCode = "";
        volatile String mFamily = "";
        volatile boolean mEnded;
        volatile boolean mFailed;
        final StringBuffer mBody = new StringBuffer();
        final CompletableFuture<Outcome> mFuture = new CompletableFuture<>();
        volatile HttpClient.OngoingCall mOngoing;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            mStatus = status;
            mCode = headers.get(HttpResponses.CODE_HEADER, "");
            mFamily = headers.get(HttpResponses.FAMILY_HEADER, "");
        }

        @Override
        public void onPart(byte[] part) {
            mBody.append(new String(part, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            mEnded = true;
            mFuture.complete(this);
        }

        @Override
        public void onFailure(CallFailedException failure) {
            mFailed = true;
            mFuture.complete(this);
        }

        boolean isComplete() {
            return mEnded && mStatus == 200 && mBody.toString().contains("data: [DONE]");
        }

        int tokens() {
            return mBody.toString().split("\"text\":\"", -1).length - 1;
        }

        Outcome get() {
            try {
                return mFuture.get(40, TimeUnit.SECONDS);
            } catch (Exception exception) {
                throw new IllegalStateException("no outcome; so far " + mBody, exception);
            }
        }

        @Override
        public String toString() {
            return mStatus + " " + mCode + " " + mFamily + " ended=" + mEnded + " " + mBody;
        }
    }

    Outcome complete(int router, String token, String key, String prompt, int tokens) {
        HttpCall call =
                HttpCall.of("POST", mRouters.get(router).callerAddress().url("/v1/completions"))
                        .withHeader("Authorization", "Bearer " + token)
                        .withJson(Map.of("prompt", prompt, "max_tokens", tokens, "stream", true))
                        .withTimeout(60_000);
        return send(key == null ? call : call.withHeader("Idempotency-Key", key));
    }

    Outcome service(int router, String requestClass, String key, String path, String mark) {
        HttpCall call =
                HttpCall.of(
                                "POST",
                                mRouters.get(router).callerAddress().url("/services/status" + path))
                        .withHeader("Authorization", "Bearer " + CALLER)
                        .withHeader("Troutpier-Class", requestClass)
                        .withHeader("X-Call", mark)
                        .withBody("{}".getBytes(StandardCharsets.UTF_8))
                        .withTimeout(60_000);
        return send(key == null ? call : call.withHeader("Idempotency-Key", key));
    }

    Outcome send(HttpCall call) {
        Outcome outcome = new Outcome();
        outcome.mOngoing = mCalls.send(call, outcome);
        return outcome;
    }

    HttpReply call(HttpCall call) {
        return mCalls.call(call).join();
    }

    long started(String mark) {
        return mServices.stream()
                .flatMap(service -> service.server().ran().all().stream())
                .filter(entry -> entry.call().equals(mark) && entry.step().equals("started"))
                .count();
    }

    long decodes(String step) {
        return mDecodes.stream()
                .flatMap(engine -> engine.server().ran().all().stream())
                .map(RunLog.Entry::step)
                .filter(step::equals)
                .count();
    }

    int held(StandinServer engine) {
        JsonNode held =
                call(HttpCall.of("GET", engine.address().url("/v1/holding"))).as(JsonNode.class);
        return held.size();
    }

    int heldByAll() {
        int held = 0;
        for (PrefillEngine engine : mPrefills) {
            held += held(engine.server());
        }
        for (DecodeEngine engine : mDecodes) {
            held += held(engine.server());
        }
        return held;
    }

    JsonNode metrics(int router) {
        return call(HttpCall.of("GET", mRouters.get(router).operatorAddress().url("/metrics"))
                        .withHeader("Authorization", "Bearer " + ADMINISTRATOR))
                .as(JsonNode.class);
    }

    static void fault(StandinServer server, Fault fault, long millis, int amount) {
        server.faults().set(fault, millis, amount);
    }

    static void await(java.util.concurrent.Callable<Boolean> condition, String what) {
        Awaitility.await(what)
                .pollInterval(Duration.ofMillis(20))
                .atMost(Duration.ofSeconds(20))
                .ignoreExceptions()
                .until(condition);
    }

    @Override
    public void close() {
        mRouters.forEach(RouterDaemon::close);
        mInstances.close();
        mTable.close();
        mObjects.close();
        mPrefills.forEach(PrefillEngine::close);
        mDecodes.forEach(DecodeEngine::close);
        mServices.forEach(PlainService::close);
        mCalls.close();
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mCallerLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

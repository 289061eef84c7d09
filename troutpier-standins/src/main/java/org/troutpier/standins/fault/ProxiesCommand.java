package org.troutpier.standins.fault;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.settings.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs fault proxies that are controlled by {@code POST /fault/KIND?link=PORT&millis=N&amount=N}.
 * Confined to the thread of the command line, except for the handler, which is thread safe.
 */
@Command(name = "proxies", description = "Runs proxies that inject network faults on request.")
public final class ProxiesCommand implements Callable<Integer> {

    private static final String HOST = "127.0.0.1";

    private static final String FAULT_PATH = "/fault/";

    /** The port of the control interface. */
    @Option(names = "--port", required = true, description = "control port")
    private int mPort;

    /** The port of each target, by the port that its proxy listens on. */
    @Option(names = "--links", required = true, split = ",", description = "PORT=TARGET_PORT")
    private Map<Integer, Integer> mLinks;

    /** The proxies, by the port that each listens on. */
    private final Map<String, FaultProxy> mProxies = new HashMap<>();

    /** Instantiated by picocli. */
    private ProxiesCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        EventLoopGroup loops = new NioEventLoopGroup(2);
        mLinks.forEach(
                (port, target) ->
                        mProxies.put(
                                String.valueOf(port),
                                new FaultProxy(
                                        new Address(HOST, port),
                                        new Address(HOST, target),
                                        loops)));
        new HttpServer(
                new Address(HOST, mPort),
                loops,
                ServerLimits.DEFAULT,
                ServerRefusals.AsJson.INSTANCE,
                this::handle);
        System.out.println("listening on " + mPort + " links " + mLinks);
        new CountDownLatch(1).await();
        return 0;
    }

    /**
     * Switches a fault of a link on.
     *
     * @param exchange the request, which names the fault, the link, the duration and the amount
     */
    private void handle(HttpExchange exchange) {
        FaultProxy proxy = mProxies.get(exchange.query("link"));
        if (proxy == null || !exchange.path().startsWith(FAULT_PATH)) {
            StandinServer.unknown(exchange);
            return;
        }
        LinkFault fault = LinkFault.of(exchange.path().substring(FAULT_PATH.length()));
        proxy.fault(
                fault,
                Long.parseLong(exchange.query("millis")),
                Integer.parseInt(exchange.query("amount")));
        exchange.answer(HttpResponses.json(200, Map.of("fault", fault.label())));
    }
}

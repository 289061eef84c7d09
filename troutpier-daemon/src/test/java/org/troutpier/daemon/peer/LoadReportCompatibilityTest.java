package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.waiting.ClassTraffic;
import org.troutpier.daemon.waiting.WaitingReport;

/** Load reports of routers whose version has fewer or more components. */
public final class LoadReportCompatibilityTest {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    /** The position of the waiting requests in a report. */
    private static final int WAITING = 10;

    private static final WaitingReport REPORT =
            new WaitingReport(
                    List.of(
                            new WaitingReport.Entry(
                                    "model",
                                    QueueTier.IN_TIME,
                                    2,
                                    new PartnerId("one"),
                                    9000,
                                    -40,
                                    6000)),
                    Map.of(new PartnerId("one"), 5000.0),
                    70,
                    List.of(new ClassTraffic("model", 2, 1000, 5000)));

    private static LoadReport report(WaitingReport waiting) {
        LoadReport none = LoadReport.NONE;
        return new LoadReport(
                none.configuration(),
                1,
                false,
                0,
                none.changing(),
                none.refusing(),
                none.uses(),
                none.demands(),
                UsageReport.NONE,
                none.rates(),
                waiting,
                none.paces());
    }

    /** Returns the waiting requests that a router reads from a report that was changed. */
    private static WaitingReport read(Consumer<ArrayNode> change) throws IOException {
        JsonNode message =
                MAPPER.readTree(
                        PeerCodec.encode(new PeerMessage.Load(ReportScope.OWN, report(REPORT))));
        change.accept((ArrayNode) message.get("report"));
        EmbeddedChannel channel = new EmbeddedChannel(new PeerCodec());
        channel.writeInbound(Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(message)));
        PeerMessage.Load load = channel.readInbound();
        return load.report().waiting();
    }

    @Test
    public void aReportArrivesUnchanged() throws IOException {
        assertEquals(read(report -> {}), REPORT);
    }

    @Test
    public void aRouterWithoutWaitingRequestsIsRead() throws IOException {
        WaitingReport waiting =
                read(
                        report -> {
                            while (report.size() > WAITING) {
                                report.remove(report.size() - 1);
                            }
                        });
        assertEquals(waiting, WaitingReport.NONE);
    }

    @Test
    public void shorterAndLongerWaitingRequestsAreRead() throws IOException {
        WaitingReport shorter = read(report -> ((ArrayNode) report.get(WAITING)).remove(3));
        assertEquals(
                shorter, new WaitingReport(REPORT.entries(), REPORT.granted(), REPORT.returning()));
        WaitingReport longer =
                read(
                        report -> {
                            ((ArrayNode) report.get(WAITING)).addArray().add(1);
                            ((ArrayNode) report.get(WAITING).get(0).get(0)).addArray().add(1);
                            report.addArray().add("more");
                        });
        assertEquals(longer, REPORT);
    }
}

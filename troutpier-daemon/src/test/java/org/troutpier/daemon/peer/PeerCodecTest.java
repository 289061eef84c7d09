package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.OutputSums;
import org.troutpier.daemon.cluster.PrefillLatencyModel;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.SharedPage;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.quarantine.CrashRecord;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.waiting.ClassTraffic;
import org.troutpier.daemon.waiting.WaitingReport;

/** Compares the encoding of messages with the one that their annotations describe. */
class PeerCodecTest {

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final UpstreamIncarnation ENGINE = UpstreamIncarnation.of("engine-1~kq2");

    private static final UpstreamIncarnation OTHER = UpstreamIncarnation.of("engine-2");

    private static final PrefillLatencyModel PREFILL =
            new PrefillLatencyModel(1.5, 2000, 37.25, 4e6, 7e4);

    private static final OutputSums OUTPUTS = new OutputSums(3, 900, 3e5, 2, -0.5);

    private static final Demand DEMAND =
            new Demand(1e5, 2.5, 3e7, 4200, 900.5, 3, PREFILL, 8e4, OUTPUTS);

    private static final RecentUsage RECENT = new RecentUsage(1L << 40, 70_000, 3);

    private static final LastAnnouncedRate ANNOUNCED = new LastAnnouncedRate(12.5, 400);

    private static final RateReport RATE = new RateReport(ANNOUNCED, RECENT, List.of(1L, 300L));

    private static final UpstreamUsage USAGE = new UpstreamUsage(3, 70_000, 1, 200, -1500);

    private static final UsageReport ORGANISATIONS =
            new UsageReport(0.25, Map.of(new PartnerId("partner-a"), RECENT));

    private static final WaitingReport.Entry ENTRY =
            new WaitingReport.Entry(
                    "model", QueueTier.LATE, 2, new PartnerId("partner-a"), 14_000, -50, 9000);

    private static final ClassTraffic TRAFFIC = new ClassTraffic("model", 2, 5e4, 4e4);

    private static final WaitingReport WAITING =
            new WaitingReport(
                    List.of(ENTRY),
                    Map.of(new PartnerId("partner-a"), 7000.5),
                    12_000,
                    List.of(TRAFFIC));

    private static final PaceReport PACE = new PaceReport(1.5, 0.25, 3, -0.75);

    private static final RecentArrivals ARRIVALS =
            new RecentArrivals(
                    List.of(new RecentArrivals.Entry("web", 2, new PartnerId("partner-a"), 3.5)));

    private static final LoadReport REPORT =
            new LoadReport(
                    7,
                    19,
                    true,
                    123_456,
                    Set.of(ENGINE),
                    Set.of(OTHER),
                    Map.of(ENGINE, USAGE),
                    Map.of("model", DEMAND),
                    ORGANISATIONS,
                    Map.of(ENGINE, RATE),
                    WAITING,
                    Map.of(ENGINE, PACE),
                    ARRIVALS,
                    3);

    private static final SharedPage PAGE =
            new SharedPage(
                    "servers",
                    11,
                    1L << 45,
                    2500,
                    List.of(
                            new Row("servers", "", "web-1", new byte[] {1, -2, 3}, 12, false),
                            new Row("servers", "p", "web-2", null, 13, true)));

    @DataProvider
    Object[] messages() {
        return new Object[] {
            new PeerMessage.Load(ReportScope.GROUP, REPORT),
            new PeerMessage.Load(ReportScope.OWN, LoadReport.NONE),
            new PeerMessage.LoadAsked(),
            new PeerMessage.Heard(),
            new PeerMessage.Page(PAGE),
            new PeerMessage.Hello("router-1~ab", "hall-a", "10.0.0.1:7660", "n1"),
            new PeerMessage.Challenge("n2", "p2", true, true),
            new PeerMessage.StreamsBegun("notes", "v1", List.of("a1", "a2")),
            new PeerMessage.Connect(ENGINE),
            new PeerMessage.ConnectResult(ForwardOutcome.BUSY),
            new PeerMessage.Proof("p3"),
            new PeerMessage.Refused(List.of("ab:1000")),
            new PeerMessage.Configuration(3, new byte[] {4, 5}),
        };
    }

    @Test(dataProvider = "messages")
    void encodingIsTheAnnotatedOne(PeerMessage message) throws Exception {
        byte[] annotated = MAPPER.writeValueAsBytes(message);
        assertEquals(PeerCodec.encode(message), annotated);
        assertEquals(
                MAPPER.readTree(MAPPER.writeValueAsBytes(PeerCodec.decode(annotated))).toString(),
                MAPPER.readTree(annotated).toString());
    }

    @Test
    void decodedReportEqualsTheSentOne() throws Exception {
        PeerMessage message = new PeerMessage.Load(ReportScope.REST, REPORT);
        assertEquals(PeerCodec.decode(PeerCodec.encode(message)), message);
    }

    /** A component that is added to a record but not to the codec has its default here. */
    @Test
    void comparedRecordsHaveNoDefaultComponents() throws Exception {
        requireNoDefaults(REPORT, LoadReport.NONE);
        requireNoDefaults(USAGE, UpstreamUsage.NONE);
        requireNoDefaults(DEMAND, Demand.NONE);
        requireNoDefaults(PREFILL, PrefillLatencyModel.NONE);
        requireNoDefaults(ORGANISATIONS, UsageReport.NONE);
        requireNoDefaults(RECENT, RecentUsage.NONE);
        requireNoDefaults(RATE, RateReport.NONE);
        requireNoDefaults(ANNOUNCED, LastAnnouncedRate.NEVER);
        requireNoDefaults(WAITING, WaitingReport.NONE);
        requireNoDefaults(OUTPUTS, new OutputSums(0, 0, 0, 0, 0));
        requireNoDefaults(PACE, PaceReport.NONE);
        requireNoDefaults(ARRIVALS, RecentArrivals.NONE);
    }

    private static void requireNoDefaults(Record record, Record defaults) throws Exception {
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            Object value = component.getAccessor().invoke(record);
            assertNotEquals(value, component.getAccessor().invoke(defaults), component.getName());
        }
    }

    @Test
    void laterVersionsMayAppendComponentsAndFields() throws Exception {
        PeerMessage message = new PeerMessage.Load(ReportScope.OWN, REPORT);
        JsonNode tree = MAPPER.readTree(MAPPER.writeValueAsBytes(message));
        ((ObjectNode) tree).putObject("later").put("field", 1);
        appendToRecords(tree.get("report"));
        assertEquals(PeerCodec.decode(MAPPER.writeValueAsBytes(tree)), message);
    }

    private static void appendToRecords(JsonNode report) {
        for (int index : new int[] {6, 7, 9, 11}) {
            report.get(index).forEach(entry -> ((ArrayNode) entry).addArray().add("later"));
        }
        report.get(8).get(1).forEach(usage -> ((ArrayNode) usage).add(1));
        ArrayNode waiting = (ArrayNode) report.get(10);
        waiting.get(0).forEach(entry -> ((ArrayNode) entry).add("later"));
        waiting.get(3).forEach(traffic -> ((ArrayNode) traffic).add("later"));
        waiting.add("later");
        ArrayNode arrivals = (ArrayNode) report.get(12);
        arrivals.get(0).forEach(entry -> ((ArrayNode) entry).add("later"));
        arrivals.add("later");
        ((ArrayNode) report).addObject().put("later", 1);
    }

    @Test
    void earlierVersionsMayLackComponents() throws Exception {
        JsonNode tree =
                MAPPER.readTree(
                        MAPPER.writeValueAsBytes(new PeerMessage.Load(ReportScope.OWN, REPORT)));
        ArrayNode report = (ArrayNode) tree.get("report");
        report.remove(13);
        report.remove(12);
        report.remove(11);
        report.remove(10);
        report.remove(9);
        report.remove(8);
        PeerMessage.Load load = (PeerMessage.Load) PeerCodec.decode(MAPPER.writeValueAsBytes(tree));
        assertEquals(load.report().organisations(), UsageReport.NONE);
        assertEquals(load.report().rates(), Map.of());
        assertEquals(load.report().waiting(), WaitingReport.NONE);
        assertEquals(load.report().paces(), Map.of());
        assertEquals(load.report().uses(), REPORT.uses());
    }

    @Test
    void truncatedFrameIsRejected() throws Exception {
        for (Object message : messages()) {
            byte[] frame = PeerCodec.encode((PeerMessage) message);
            for (int length = 0; length < frame.length; length++) {
                byte[] truncated = Arrays.copyOf(frame, length);
                assertThrows(Exception.class, () -> PeerCodec.decode(truncated));
            }
        }
    }

    /** Routers of earlier versions read contents only and close a connection on anything else. */
    @Test
    public void crashesOfPartsAreSentBesideThoseOfContents() throws IOException {
        CrashRecord record = new CrashRecord(0, Set.of(ENGINE));
        CrashReport content =
                new CrashReport(RequestFingerprint.of("host", "/", new byte[0]), record);
        CrashReport part = new CrashReport(CrashTrait.ForPart.of("5c1e07a2"), record);
        PeerMessage.Crashed message = PeerMessage.Crashed.of(List.of(part, content));
        assertEquals(message.all(), List.of(content, part));
        ObjectNode encoded = (ObjectNode) MAPPER.readTree(PeerCodec.encode(message));
        assertEquals(encoded.get("reports").size(), 1);
        assertEquals(encoded.get("reports").get(0).get(0).asText(), content.trait().key());
        assertEquals(PeerCodec.decode(MAPPER.writeValueAsBytes(encoded)), message);
        encoded.remove("parts");
        PeerMessage read = PeerCodec.decode(MAPPER.writeValueAsBytes(encoded));
        assertEquals(((PeerMessage.Crashed) read).all(), List.of(content));
    }
}

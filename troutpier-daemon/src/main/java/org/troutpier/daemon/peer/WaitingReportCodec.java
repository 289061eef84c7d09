package org.troutpier.daemon.peer;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.waiting.ClassTraffic;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Encodes and decodes the waiting requests in a load report; see {@link LoadReportCodec}. Stateless
 * and thread safe.
 */
final class WaitingReportCodec {

    private static final int REPORT_SIZE = 4;

    private static final int ENTRY_SIZE = 7;

    private static final int TRAFFIC_SIZE = 4;

    private WaitingReportCodec() {}

    static void write(MessagePacker out, WaitingReport report) throws IOException {
        out.packArrayHeader(REPORT_SIZE).packArrayHeader(report.entries().size());
        for (WaitingReport.Entry entry : report.entries()) {
            out.packArrayHeader(ENTRY_SIZE)
                    .packString(entry.service())
                    .packString(entry.tier().name())
                    .packInt(entry.rank())
                    .packString(entry.organisation().value())
                    .packDouble(entry.cost())
                    .packLong(entry.latestStartMillis())
                    .packDouble(entry.largest());
        }
        out.packMapHeader(report.granted().size());
        for (Map.Entry<PartnerId, Double> entry : report.granted().entrySet()) {
            out.packString(entry.getKey().value()).packDouble(entry.getValue());
        }
        out.packDouble(report.returning()).packArrayHeader(report.traffic().size());
        for (ClassTraffic traffic : report.traffic()) {
            out.packArrayHeader(TRAFFIC_SIZE)
                    .packString(traffic.service())
                    .packInt(traffic.rank())
                    .packDouble(traffic.arrived())
                    .packDouble(traffic.granted());
        }
    }

    static WaitingReport read(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        WaitingReport report =
                new WaitingReport(
                        fields.nextList(WaitingReportCodec::readEntry),
                        fields.nextMap(PartnerId::new, MessageUnpacker::unpackDouble),
                        fields.nextDouble(),
                        fields.nextList(WaitingReportCodec::readTraffic));
        fields.end();
        return report;
    }

    private static WaitingReport.Entry readEntry(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        WaitingReport.Entry entry =
                new WaitingReport.Entry(
                        fields.nextString(),
                        QueueTier.valueOf(fields.nextString()),
                        fields.nextInt(),
                        new PartnerId(fields.nextString()),
                        fields.nextDouble(),
                        fields.nextLong(),
                        fields.nextDouble());
        fields.end();
        return entry;
    }

    private static ClassTraffic readTraffic(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        ClassTraffic traffic =
                new ClassTraffic(
                        fields.nextString(),
                        fields.nextInt(),
                        fields.nextDouble(),
                        fields.nextDouble());
        fields.end();
        return traffic;
    }
}

package org.troutpier.daemon.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.OutputSums;
import org.troutpier.daemon.cluster.PrefillLatencyModel;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Encodes and decodes load reports, the most frequent content of messages, without reflection.
 * Stateless and thread safe. Invariant: the encoding is the one that the annotations of the records
 * describe, so that either can read what the other wrote. A new component of a record is appended
 * here in the order of the components.
 */
final class LoadReportCodec {

    private static final int REPORT_SIZE = 14;

    private static final int USAGE_SIZE = 5;

    private static final int DEMAND_SIZE = 9;

    private static final int PREFILL_SIZE = 5;

    private static final int RECENT_SIZE = 3;

    private static final int OUTPUTS_SIZE = 5;

    private static final int PACE_SIZE = 4;

    private static final int ARRIVAL_SIZE = 4;

    private LoadReportCodec() {}

    static void write(MessagePacker out, LoadReport report) throws IOException {
        out.packArrayHeader(REPORT_SIZE)
                .packLong(report.configuration())
                .packInt(report.routers())
                .packBoolean(report.roleHolder())
                .packLong(report.waitingTokens());
        writeUpstreams(out, report.changing());
        writeUpstreams(out, report.refusing());
        out.packMapHeader(report.uses().size());
        for (Map.Entry<UpstreamIncarnation, UpstreamUsage> entry : report.uses().entrySet()) {
            UpstreamUsage usage = entry.getValue();
            out.packString(entry.getKey().toString())
                    .packArrayHeader(USAGE_SIZE)
                    .packInt(usage.calls())
                    .packLong(usage.tokens())
                    .packInt(usage.failed())
                    .packInt(usage.succeeded())
                    .packLong(usage.restCorrection());
        }
        out.packMapHeader(report.demands().size());
        for (Map.Entry<String, Demand> entry : report.demands().entrySet()) {
            out.packString(entry.getKey());
            writeDemand(out, entry.getValue());
        }
        out.packArrayHeader(2).packDouble(report.organisations().forgotten());
        out.packMapHeader(report.organisations().used().size());
        for (Map.Entry<PartnerId, RecentUsage> entry : report.organisations().used().entrySet()) {
            out.packString(entry.getKey().value());
            writeRecent(out, entry.getValue());
        }
        out.packMapHeader(report.rates().size());
        for (Map.Entry<UpstreamIncarnation, RateReport> entry : report.rates().entrySet()) {
            out.packString(entry.getKey().toString());
            writeRate(out, entry.getValue());
        }
        WaitingReportCodec.write(out, report.waiting());
        out.packMapHeader(report.paces().size());
        for (Map.Entry<UpstreamIncarnation, PaceReport> entry : report.paces().entrySet()) {
            PaceReport pace = entry.getValue();
            out.packString(entry.getKey().toString())
                    .packArrayHeader(PACE_SIZE)
                    .packDouble(pace.recentWeight())
                    .packDouble(pace.recentLogarithm())
                    .packDouble(pace.lastingWeight())
                    .packDouble(pace.lastingLogarithm());
        }
        writeArrivals(out, report.arrivals());
        out.packInt(report.overloaded());
    }

    private static void writeArrivals(MessagePacker out, RecentArrivals arrivals)
            throws IOException {
        out.packArrayHeader(1).packArrayHeader(arrivals.entries().size());
        for (RecentArrivals.Entry entry : arrivals.entries()) {
            out.packArrayHeader(ARRIVAL_SIZE)
                    .packString(entry.service())
                    .packInt(entry.rank())
                    .packString(entry.organisation().value())
                    .packDouble(entry.calls());
        }
    }

    private static void writeUpstreams(MessagePacker out, Set<UpstreamIncarnation> upstreams)
            throws IOException {
        out.packArrayHeader(upstreams.size());
        for (UpstreamIncarnation upstream : upstreams) {
            out.packString(upstream.toString());
        }
    }

    private static void writeDemand(MessagePacker out, Demand demand) throws IOException {
        PrefillLatencyModel prefill = demand.reading();
        out.packArrayHeader(DEMAND_SIZE)
                .packDouble(demand.promptTokens())
                .packDouble(demand.requests())
                .packDouble(demand.memoryTime())
                .packDouble(demand.runMillis())
                .packDouble(demand.outputTokens())
                .packDouble(demand.runs())
                .packArrayHeader(PREFILL_SIZE)
                .packDouble(prefill.count())
                .packDouble(prefill.tokens())
                .packDouble(prefill.millis())
                .packDouble(prefill.tokensSquared())
                .packDouble(prefill.tokensMillis());
        out.packDouble(demand.recentPromptTokens());
        writeOutputs(out, demand.outputs());
    }

    private static void writeOutputs(MessagePacker out, OutputSums outputs) throws IOException {
        if (outputs == null) {
            out.packNil();
            return;
        }
        out.packArrayHeader(OUTPUTS_SIZE)
                .packDouble(outputs.runs())
                .packDouble(outputs.tokens())
                .packDouble(outputs.squares())
                .packDouble(outputs.hintedRuns())
                .packDouble(outputs.hintErrors());
    }

    private static void writeRecent(MessagePacker out, RecentUsage usage) throws IOException {
        out.packArrayHeader(RECENT_SIZE)
                .packLong(usage.window())
                .packLong(usage.pace())
                .packLong(usage.asked());
    }

    private static void writeRate(MessagePacker out, RateReport rate) throws IOException {
        out.packArrayHeader(RECENT_SIZE)
                .packArrayHeader(2)
                .packDouble(rate.named().perSecond())
                .packLong(rate.named().ageMillis());
        writeRecent(out, rate.use());
        out.packArrayHeader(rate.asked().size());
        for (long asked : rate.asked()) {
            out.packLong(asked);
        }
    }

    static LoadReport read(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        LoadReport report =
                new LoadReport(
                        fields.nextLong(),
                        fields.nextInt(),
                        fields.nextBoolean(),
                        fields.nextLong(),
                        fields.nextSet(UpstreamIncarnation::of),
                        fields.nextSet(UpstreamIncarnation::of),
                        fields.nextMap(UpstreamIncarnation::of, LoadReportCodec::readUsage),
                        fields.nextMap(name -> name, LoadReportCodec::readDemand),
                        fields.next() ? readOrganisations(in) : UsageReport.NONE,
                        fields.nextMap(UpstreamIncarnation::of, LoadReportCodec::readRate),
                        fields.next() ? WaitingReportCodec.read(in) : WaitingReport.NONE,
                        fields.nextMap(UpstreamIncarnation::of, LoadReportCodec::readPace),
                        fields.next() ? readArrivals(in) : RecentArrivals.NONE,
                        fields.nextInt());
        fields.end();
        return report;
    }

    private static RecentArrivals readArrivals(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        RecentArrivals arrivals = new RecentArrivals(fields.nextList(LoadReportCodec::readArrival));
        fields.end();
        return arrivals;
    }

    private static RecentArrivals.Entry readArrival(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        RecentArrivals.Entry entry =
                new RecentArrivals.Entry(
                        fields.nextString(),
                        fields.nextInt(),
                        new PartnerId(fields.nextString()),
                        fields.nextDouble());
        fields.end();
        return entry;
    }

    private static UpstreamUsage readUsage(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        UpstreamUsage usage =
                new UpstreamUsage(
                        fields.nextInt(),
                        fields.nextLong(),
                        fields.nextInt(),
                        fields.nextInt(),
                        fields.nextLong());
        fields.end();
        return usage;
    }

    private static Demand readDemand(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        Demand demand =
                new Demand(
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.next() ? readPrefill(in) : PrefillLatencyModel.NONE,
                        fields.nextDouble(),
                        fields.next() ? readOutputs(in) : null);
        fields.end();
        return demand;
    }

    private static PrefillLatencyModel readPrefill(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        PrefillLatencyModel prefill =
                new PrefillLatencyModel(
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble());
        fields.end();
        return prefill;
    }

    private static OutputSums readOutputs(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        OutputSums outputs =
                new OutputSums(
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble());
        fields.end();
        return outputs;
    }

    private static PaceReport readPace(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        PaceReport pace =
                new PaceReport(
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble(),
                        fields.nextDouble());
        fields.end();
        return pace;
    }

    private static UsageReport readOrganisations(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        UsageReport usage =
                new UsageReport(
                        fields.nextDouble(),
                        fields.nextMap(PartnerId::new, LoadReportCodec::readRecent));
        fields.end();
        return usage;
    }

    private static RecentUsage readRecent(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        RecentUsage usage =
                new RecentUsage(fields.nextLong(), fields.nextLong(), fields.nextLong());
        fields.end();
        return usage;
    }

    private static RateReport readRate(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        RateReport rate =
                new RateReport(
                        fields.next() ? readAnnounced(in) : LastAnnouncedRate.NEVER,
                        fields.next() ? readRecent(in) : RecentUsage.NONE,
                        fields.next() ? readLongs(in) : List.of());
        fields.end();
        return rate;
    }

    private static LastAnnouncedRate readAnnounced(MessageUnpacker in) throws IOException {
        MessagePackArray fields = new MessagePackArray(in);
        LastAnnouncedRate rate = new LastAnnouncedRate(fields.nextDouble(), fields.nextLong());
        fields.end();
        return rate;
    }

    private static List<Long> readLongs(MessageUnpacker in) throws IOException {
        List<Long> longs = new ArrayList<>();
        int size = in.unpackArrayHeader();
        for (int index = 0; index < size; index++) {
            longs.add(in.unpackLong());
        }
        return longs;
    }
}

package org.troutpier.daemon.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.SharedPage;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * Encodes and decodes, without reflection, the messages of the handshake, of forwarded connections
 * and those that each router receives several times a second. Stateless and thread safe.
 * Invariants: the encoding is the one that the annotations of {@link PeerMessage} describe; unknown
 * fields are skipped.
 */
final class FrequentMessageCodec {

    /** Field that names the kind of a message; encoded first. */
    private static final String KIND = "t";

    private static final int PAGE_SIZE = 5;

    private static final int ROW_SIZE = 6;

    private FrequentMessageCodec() {}

    /** Returns the encoding of a message, or null if it is of another kind. */
    static byte[] encode(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Load load) {
            MessageBufferPacker out = begin("load", 2);
            out.packString("scope").packString(load.scope().name()).packString("report");
            LoadReportCodec.write(out, load.report());
            return out.toByteArray();
        }
        if (message instanceof PeerMessage.Page page) {
            MessageBufferPacker out = begin("page", 1);
            out.packString("page");
            writePage(out, page.page());
            return out.toByteArray();
        }
        if (message instanceof PeerMessage.LoadAsked) {
            return begin("loadask", 0).toByteArray();
        }
        if (message instanceof PeerMessage.Heard) {
            return begin("h", 0).toByteArray();
        }
        if (message instanceof PeerMessage.StreamsBegun begun) {
            MessageBufferPacker out = begin("begun", 3);
            out.packString("service").packString(begun.service());
            out.packString("version").packString(begun.version());
            out.packString("attempts").packArrayHeader(begun.attempts().size());
            for (String attempt : begun.attempts()) {
                out.packString(attempt);
            }
            return out.toByteArray();
        }
        return encodeSetup(message);
    }

    private static byte[] encodeSetup(PeerMessage message) throws IOException {
        MessageBufferPacker out;
        if (message instanceof PeerMessage.Hello hello) {
            out = begin("hello", 4);
            out.packString("incarnation").packString(hello.incarnation());
            out.packString("hall").packString(hello.hall());
            out.packString("peer").packString(hello.peer());
            out.packString("nonce").packString(hello.nonce());
        } else if (message instanceof PeerMessage.Challenge challenge) {
            out = begin("challenge", 4);
            out.packString("nonce").packString(challenge.nonce());
            out.packString("proof").packString(challenge.proof());
            out.packString("forwards").packBoolean(challenge.forwards());
            out.packString("origins").packBoolean(challenge.origins());
        } else if (message instanceof PeerMessage.Proof proof) {
            out = begin("proof", 1);
            out.packString("proof").packString(proof.proof());
        } else if (message instanceof PeerMessage.Connect connect) {
            out = begin("connect", 1);
            out.packString("upstream").packString(connect.upstream().toString());
        } else if (message instanceof PeerMessage.ConnectResult result) {
            out = begin("connected", 1);
            out.packString("outcome").packString(result.outcome().name());
        } else {
            return null;
        }
        return out.toByteArray();
    }

    private static MessageBufferPacker begin(String kind, int fields) throws IOException {
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
        out.packMapHeader(1 + fields).packString(KIND).packString(kind);
        return out;
    }

    private static void writePage(MessagePacker out, SharedPage page) throws IOException {
        out.packMapHeader(PAGE_SIZE);
        out.packString("table").packString(page.table());
        out.packString("after").packLong(page.after());
        out.packString("version").packLong(page.version());
        out.packString("unbrokenMillis").packLong(page.unbrokenMillis());
        out.packString("rows").packArrayHeader(page.rows().size());
        for (Row row : page.rows()) {
            out.packMapHeader(ROW_SIZE);
            out.packString("table").packString(row.table());
            out.packString("part").packString(row.part());
            out.packString("key").packString(row.key());
            out.packString("value");
            if (row.value() == null) {
                out.packNil();
            } else {
                out.packBinaryHeader(row.value().length).writePayload(row.value());
            }
            out.packString("version").packLong(row.version());
            out.packString("deleted").packBoolean(row.deleted());
        }
    }

    /** Returns the message in a frame, or null if it is of another kind. */
    static PeerMessage decode(byte[] frame) throws IOException {
        MessageUnpacker in = MessagePack.newDefaultUnpacker(frame);
        int fields = in.unpackMapHeader() - 1;
        if (fields < 0 || !in.unpackString().equals(KIND)) {
            return null;
        }
        return switch (in.unpackString()) {
            case "load" -> readLoad(in, fields);
            case "page" -> readPage(in, fields);
            case "begun" -> readBegun(in, fields);
            case "loadask" -> new PeerMessage.LoadAsked();
            case "h" -> new PeerMessage.Heard();
            case "hello" -> {
                String[] texts = readTexts(in, fields, "incarnation", "hall", "peer", "nonce");
                yield new PeerMessage.Hello(texts[0], texts[1], texts[2], texts[3]);
            }
            case "challenge" -> readChallenge(in, fields);
            case "connect" ->
                    new PeerMessage.Connect(
                            UpstreamIncarnation.of(readTexts(in, fields, "upstream")[0]));
            case "connected" ->
                    new PeerMessage.ConnectResult(
                            ForwardOutcome.valueOf(readTexts(in, fields, "outcome")[0]));
            case "proof" -> new PeerMessage.Proof(readTexts(in, fields, "proof")[0]);
            default -> null;
        };
    }

    /** Reads fields that are texts; a missing one is null. */
    private static String[] readTexts(MessageUnpacker in, int fields, String... names)
            throws IOException {
        String[] texts = new String[names.length];
        for (int field = 0; field < fields; field++) {
            int index = List.of(names).indexOf(in.unpackString());
            if (index < 0) {
                in.skipValue();
            } else if (!in.tryUnpackNil()) {
                texts[index] = in.unpackString();
            }
        }
        return texts;
    }

    private static PeerMessage readChallenge(MessageUnpacker in, int fields) throws IOException {
        String nonce = null;
        String proof = null;
        boolean forwards = false;
        boolean origins = false;
        for (int field = 0; field < fields; field++) {
            switch (in.unpackString()) {
                case "nonce" -> nonce = in.unpackString();
                case "proof" -> proof = in.unpackString();
                case "forwards" -> forwards = in.unpackBoolean();
                case "origins" -> origins = in.unpackBoolean();
                default -> in.skipValue();
            }
        }
        return new PeerMessage.Challenge(nonce, proof, forwards, origins);
    }

    private static PeerMessage readBegun(MessageUnpacker in, int fields) throws IOException {
        String service = null;
        String version = null;
        List<String> attempts = new ArrayList<>();
        for (int field = 0; field < fields; field++) {
            switch (in.unpackString()) {
                case "service" -> service = in.unpackString();
                case "version" -> version = in.unpackString();
                case "attempts" -> {
                    int size = in.unpackArrayHeader();
                    for (int index = 0; index < size; index++) {
                        attempts.add(in.unpackString());
                    }
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.StreamsBegun(service, version, attempts);
    }

    private static PeerMessage readLoad(MessageUnpacker in, int fields) throws IOException {
        ReportScope scope = null;
        LoadReport report = null;
        for (int field = 0; field < fields; field++) {
            switch (in.unpackString()) {
                case "scope" -> scope = ReportScope.valueOf(in.unpackString());
                case "report" -> report = LoadReportCodec.read(in);
                default -> in.skipValue();
            }
        }
        return new PeerMessage.Load(scope, report);
    }

    private static PeerMessage readPage(MessageUnpacker in, int fields) throws IOException {
        SharedPage page = null;
        for (int field = 0; field < fields; field++) {
            if (in.unpackString().equals("page")) {
                page = readSharedPage(in);
            } else {
                in.skipValue();
            }
        }
        return new PeerMessage.Page(page);
    }

    private static SharedPage readSharedPage(MessageUnpacker in) throws IOException {
        String table = null;
        long after = 0;
        long version = 0;
        long unbrokenMillis = 0;
        List<Row> rows = new ArrayList<>();
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (in.unpackString()) {
                case "table" -> table = in.unpackString();
                case "after" -> after = in.unpackLong();
                case "version" -> version = in.unpackLong();
                case "unbrokenMillis" -> unbrokenMillis = in.unpackLong();
                case "rows" -> {
                    int size = in.unpackArrayHeader();
                    for (int index = 0; index < size; index++) {
                        rows.add(readRow(in));
                    }
                }
                default -> in.skipValue();
            }
        }
        return new SharedPage(table, after, version, unbrokenMillis, rows);
    }

    private static Row readRow(MessageUnpacker in) throws IOException {
        String table = null;
        String part = null;
        String key = null;
        byte[] value = null;
        long version = 0;
        boolean deleted = false;
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            String name = in.unpackString();
            if (in.tryUnpackNil()) {
                continue;
            }
            switch (name) {
                case "table" -> table = in.unpackString();
                case "part" -> part = in.unpackString();
                case "key" -> key = in.unpackString();
                case "value" -> value = in.readPayload(in.unpackBinaryHeader());
                case "version" -> version = in.unpackLong();
                case "deleted" -> deleted = in.unpackBoolean();
                default -> in.skipValue();
            }
        }
        return new Row(table, part, key, value, version, deleted);
    }
}

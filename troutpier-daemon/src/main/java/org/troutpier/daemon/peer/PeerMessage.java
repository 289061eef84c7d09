package org.troutpier.daemon.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.stream.Stream;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.SharedPage;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.rows.TableState;

/** Messages between routers. All messages are immutable and thread safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "challenge"),
    @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "proof"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "beat"),
    @JsonSubTypes.Type(value = PeerMessage.PermitAsk.class, name = "ask"),
    @JsonSubTypes.Type(value = PeerMessage.PermitReport.class, name = "report"),
    @JsonSubTypes.Type(value = PeerMessage.PermitGrant.class, name = "grant"),
    @JsonSubTypes.Type(value = PeerMessage.PermitRecall.class, name = "recall"),
    @JsonSubTypes.Type(value = PeerMessage.Prepare.class, name = "prepare"),
    @JsonSubTypes.Type(value = PeerMessage.Prepared.class, name = "prepared"),
    @JsonSubTypes.Type(value = PeerMessage.Activate.class, name = "activate"),
    @JsonSubTypes.Type(value = PeerMessage.Activated.class, name = "activated"),
    @JsonSubTypes.Type(value = PeerMessage.Pull.class, name = "pull"),
    @JsonSubTypes.Type(value = PeerMessage.Load.class, name = "load"),
    @JsonSubTypes.Type(value = PeerMessage.LoadAsked.class, name = "loadask"),
    @JsonSubTypes.Type(value = PeerMessage.Configuration.class, name = "configuration"),
    @JsonSubTypes.Type(value = PeerMessage.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = PeerMessage.Crashed.class, name = "crashed"),
    @JsonSubTypes.Type(value = PeerMessage.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = PeerMessage.StreamsBegun.class, name = "begun"),
    @JsonSubTypes.Type(value = PeerMessage.OriginQuery.class, name = "originquery"),
    @JsonSubTypes.Type(value = PeerMessage.OriginAnswer.class, name = "originanswer"),
    @JsonSubTypes.Type(value = PeerMessage.Page.class, name = "page"),
    @JsonSubTypes.Type(value = PeerMessage.TableAsked.class, name = "tableask"),
    @JsonSubTypes.Type(value = PeerMessage.TableTold.class, name = "tabletold"),
    @JsonSubTypes.Type(value = PeerMessage.Connect.class, name = "connect"),
    @JsonSubTypes.Type(value = PeerMessage.ConnectResult.class, name = "connected"),
    @JsonSubTypes.Type(value = PeerMessage.Heard.class, name = "h")
})
public sealed interface PeerMessage {

    /** Returns the label under which messages of this kind are counted. */
    default String label() {
        return getClass().getSimpleName();
    }

    /**
     * Starts the handshake, on a connection that the sender opened.
     *
     * @param incarnation the sender
     * @param hall the sender's data hall
     * @param peer the address at which the sender accepts connections
     * @param nonce nonce that the receiver's proof must cover
     */
    record Hello(String incarnation, String hall, String peer, String nonce)
            implements PeerMessage {}

    /**
     * Answers {@link Hello}.
     *
     * @param nonce nonce that the peer's proof must cover
     * @param proof proves knowledge of the secret over both nonces
     * @param forwards whether the sender accepts {@link Connect}; false if it does not say so
     * @param origins whether the sender accepts {@link StreamsBegun}, {@link OriginQuery} and
     *     {@link OriginAnswer}; false if it does not say so
     */
    record Challenge(String nonce, String proof, boolean forwards, boolean origins)
            implements PeerMessage {}

    /**
     * Completes the handshake.
     *
     * @param proof proves knowledge of the secret over both nonces and the sender's incarnation
     */
    record Proof(String proof) implements PeerMessage {}

    /**
     * Reports that a router is alive.
     *
     * @param stamp the sender's hybrid clock
     * @param version the version in force at the sender
     * @param leaving whether the sender accepts no new work
     * @param fenced whether the sender is fenced until it has revalidated its version
     */
    record Heartbeat(long stamp, long version, boolean leaving, boolean fenced)
            implements PeerMessage {}

    /**
     * Requests permits from the coordinator of an engine, or returns some.
     *
     * @param held number of permits that the sender holds, used and free
     * @param received total number of permits received from this coordinator, as far as the sender
     *     knows
     * @param wanted number of further permits requested
     */
    record PermitAsk(String engine, int held, long received, int wanted) implements PeerMessage {}

    /**
     * Reports to the coordinator of an engine which permits are held; sent periodically, in case an
     * earlier message was lost.
     *
     * @param held number of permits that the sender holds, used and free
     * @param received total number of permits received from this coordinator, as far as the sender
     *     knows
     */
    record PermitReport(String engine, int held, long received) implements PeerMessage {}

    /**
     * Grants permits.
     *
     * @param count number of permits
     */
    record PermitGrant(String engine, int count) implements PeerMessage {}

    /** Requests that idle permits be returned. */
    record PermitRecall(String engine) implements PeerMessage {}

    /**
     * Asks whether a change could be put in force at the receiver.
     *
     * @param change the change's id
     * @param next the declarations after the change
     */
    record Prepare(String change, Declarations next) implements PeerMessage {}

    /**
     * Answers {@link Prepare}.
     *
     * @param change the change's id
     * @param obstacle why the change cannot be put in force; empty if it can
     */
    record Prepared(String change, String obstacle) implements PeerMessage {}

    /**
     * Announces that a change is committed.
     *
     * @param change the change's id; empty in an answer to {@link Pull}
     * @param next the declarations after the change
     */
    record Activate(String change, Declarations next) implements PeerMessage {}

    /**
     * Reports that a change is in force at the sender.
     *
     * @param change the change's id
     * @param version the version in force
     */
    record Activated(String change, long version) implements PeerMessage {}

    /**
     * Requests the declarations in force, which are sent as {@link Activate}.
     *
     * @param version the version in force at the sender
     */
    record Pull(long version) implements PeerMessage {}

    /**
     * Reports the load of one or several routers.
     *
     * @param scope whose load it is
     * @param report the load
     */
    record Load(ReportScope scope, LoadReport report) implements PeerMessage {

        @Override
        public String label() {
            return "Load." + scope;
        }
    }

    /** Requests the load of all other routers from a relay, which sends it as {@link Load}. */
    record LoadAsked() implements PeerMessage {}

    /**
     * Forwards a configuration as the operator wrote it.
     *
     * @param encoded the encoded configuration, byte for byte
     */
    record Configuration(long version, byte[] encoded) implements PeerMessage {}

    /**
     * Announces refused requests that their callers are expected to retry.
     *
     * @param keys for each request, the part of its prompt that it does not share with others
     */
    record Refused(List<String> keys) implements PeerMessage {}

    /**
     * Reports requests during which upstreams crashed, or whose quarantine was cleared. Routers of
     * versions that do not know parts ignore the second field.
     *
     * @param reports what the sender reports of contents
     * @param parts what it reports of parts of prompts; may be absent
     */
    record Crashed(List<CrashReport> reports, List<CrashReport> parts) implements PeerMessage {

        /** Replaces an absent list by an empty one. */
        public Crashed {
            parts = parts == null ? List.of() : parts;
        }

        /** Creates a message from reports of any kind. */
        public static Crashed of(List<CrashReport> reports) {
            return new Crashed(
                    reports.stream().filter(each -> !isOfPart(each)).toList(),
                    reports.stream().filter(Crashed::isOfPart).toList());
        }

        private static boolean isOfPart(CrashReport report) {
            return report.trait() instanceof CrashTrait.ForPart;
        }

        /** Returns all reports. */
        public List<CrashReport> all() {
            return Stream.concat(reports.stream(), parts.stream()).toList();
        }
    }

    /** Reports upstreams that announced in their answers that they are leaving. */
    record Leaving(List<UpstreamIncarnation> upstreams) implements PeerMessage {}

    /**
     * Announces streams whose first events the sender is about to relay.
     *
     * @param service the service
     * @param version the software version of the upstreams that began them; may be empty
     * @param attempts the attempts of their callers
     */
    record StreamsBegun(String service, String version, List<String> attempts)
            implements PeerMessage {}

    /**
     * Asks for the origins of streams; relays pass it on to all routers.
     *
     * @param asker the router that asks
     * @param attempts the attempts that began the streams
     */
    record OriginQuery(String asker, List<String> attempts) implements PeerMessage {}

    /**
     * Answers {@link OriginQuery}; relays pass it on to the router that asked.
     *
     * @param asker the router that asked
     * @param service the service
     * @param version the software version of the upstreams that began the streams; may be empty
     * @param attempts the attempts that began them
     */
    record OriginAnswer(String asker, String service, String version, List<String> attempts)
            implements PeerMessage {}

    /**
     * Shares changes of a table that the sender has read from the store.
     *
     * @param page the changes
     */
    record Page(SharedPage page) implements PeerMessage {}

    /**
     * Requests a table that the store does not return to the sender.
     *
     * @param version the newest version that the sender knows
     */
    record TableAsked(String table, long version) implements PeerMessage {}

    /**
     * Answers {@link TableAsked}.
     *
     * @param state the table as the sender knows it
     */
    record TableTold(String table, TableState state) implements PeerMessage {}

    /**
     * Requests that this connection be forwarded to an upstream that the sender cannot reach. Sent
     * as the first message after the handshake; nothing else is sent before the answer.
     */
    record Connect(UpstreamIncarnation upstream) implements PeerMessage {}

    /**
     * Answers {@link Connect}. After {@link ForwardOutcome#OPENED}, the connection carries the
     * bytes of the upstream's connection, those from the upstream in frames of which an empty one
     * marks the end.
     */
    record ConnectResult(ForwardOutcome outcome) implements PeerMessage {}

    /** Acknowledges, on the connection on which they arrived, that messages are received. */
    record Heard() implements PeerMessage {}
}

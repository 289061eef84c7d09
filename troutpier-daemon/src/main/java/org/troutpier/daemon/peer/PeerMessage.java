package org.troutpier.daemon.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.SharedPage;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.rows.TableState;

/** What routers say to each other. All messages are immutable and thread safe. */
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
    @JsonSubTypes.Type(value = PeerMessage.Page.class, name = "page"),
    @JsonSubTypes.Type(value = PeerMessage.TableAsked.class, name = "tableask"),
    @JsonSubTypes.Type(value = PeerMessage.TableTold.class, name = "tabletold"),
    @JsonSubTypes.Type(value = PeerMessage.Heard.class, name = "h")
})
public sealed interface PeerMessage {

    /**
     * Returns what messages are counted by.
     *
     * @return the kind's name
     */
    default String label() {
        return getClass().getSimpleName();
    }

    /**
     * Opens a connection.
     *
     * @param incarnation who connects
     * @param hall its hall
     * @param peer where it is reached
     * @param nonce a number that the answer must prove the secret over
     */
    record Hello(String incarnation, String hall, String peer, String nonce)
            implements PeerMessage {}

    /**
     * Answers a hello.
     *
     * @param nonce a number that the caller must prove the secret over
     * @param proof proves the secret over both numbers
     */
    record Challenge(String nonce, String proof) implements PeerMessage {}

    /**
     * Ends the opening.
     *
     * @param proof proves the secret over both numbers and the name
     */
    record Proof(String proof) implements PeerMessage {}

    /**
     * Says that a router runs.
     *
     * @param stamp its hybrid clock
     * @param version the version in force there
     * @param leaving whether it takes no new work
     * @param fenced whether it waits for revalidation
     */
    record Heartbeat(long stamp, long version, boolean leaving, boolean fenced)
            implements PeerMessage {}

    /**
     * Asks an engine's coordinator for permits, or gives some back.
     *
     * @param engine the engine
     * @param held how many it holds, used and free
     * @param received how many this coordinator has given it in all, as far as it knows
     * @param wanted how many more it wants
     */
    record PermitAsk(String engine, int held, long received, int wanted) implements PeerMessage {}

    /**
     * Tells an engine's coordinator what is held, now and then, in case an earlier word was lost.
     *
     * @param engine the engine
     * @param held how many it holds, used and free
     * @param received how many this coordinator has given it in all, as far as it knows
     */
    record PermitReport(String engine, int held, long received) implements PeerMessage {}

    /**
     * Gives permits.
     *
     * @param engine the engine
     * @param count how many
     */
    record PermitGrant(String engine, int count) implements PeerMessage {}

    /**
     * Asks for idle permits back.
     *
     * @param engine the engine
     */
    record PermitRecall(String engine) implements PeerMessage {}

    /**
     * Asks whether a change could be put in force.
     *
     * @param change the change
     * @param next the declarations that it would make
     */
    record Prepare(String change, Declarations next) implements PeerMessage {}

    /**
     * Answers a prepare.
     *
     * @param change the change
     * @param obstacle why it could not be put in force; empty where it could
     */
    record Prepared(String change, String obstacle) implements PeerMessage {}

    /**
     * Says that a change is committed.
     *
     * @param change the change
     * @param next the declarations that it makes
     */
    record Activate(String change, Declarations next) implements PeerMessage {}

    /**
     * Says that a change is in force.
     *
     * @param change the change
     * @param version the version in force
     */
    record Activated(String change, long version) implements PeerMessage {}

    /**
     * Asks for the declarations in force, to be sent as {@link Activate}.
     *
     * @param version the version in force at the asking router
     */
    record Pull(long version) implements PeerMessage {}

    /**
     * Tells of the load of one or several routers.
     *
     * @param scope whose load it is
     * @param report the load
     */
    record Load(ReportScope scope, LoadReport report) implements PeerMessage {

        /** {@inheritDoc} */
        @Override
        public String label() {
            return "Load." + scope;
        }
    }

    /** Asks a relay for the load of all others, to be sent as {@link Load}. */
    record LoadAsked() implements PeerMessage {}

    /**
     * Hands on a configuration as the operator wrote it.
     *
     * @param version its version
     * @param encoded the operator's bytes
     */
    record Configuration(long version, byte[] encoded) implements PeerMessage {}

    /**
     * Tells that requests were refused and will come back.
     *
     * @param keys the part of each one's prompt that is its own
     */
    record Refused(List<String> keys) implements PeerMessage {}

    /**
     * Tells of requests under which upstreams ended, or that were cleared.
     *
     * @param reports what the sender knows of them
     */
    record Crashed(List<CrashReport> reports) implements PeerMessage {}

    /**
     * Reports upstreams that have announced in their answers that they leave.
     *
     * @param upstreams their starts
     */
    record Leaving(List<UpstreamIncarnation> upstreams) implements PeerMessage {}

    /**
     * Shares changes of a table that the sender read.
     *
     * @param page the changes
     */
    record Page(SharedPage page) implements PeerMessage {}

    /**
     * Asks for a table that the store does not tell the asking router.
     *
     * @param table the table
     * @param version the newest version that the asking router knows
     */
    record TableAsked(String table, long version) implements PeerMessage {}

    /**
     * Tells a router that asked of a table.
     *
     * @param table the table
     * @param state the table as the sender knows it
     */
    record TableTold(String table, TableState state) implements PeerMessage {}

    /** Says, on the connection that they came on, that messages are heard. */
    record Heard() implements PeerMessage {}
}

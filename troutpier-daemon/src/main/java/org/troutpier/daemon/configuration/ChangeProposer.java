package org.troutpier.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.admission.CoordinatorPermits;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.table.Table.Outcome;
import org.troutpier.daemon.table.Table.WriteResult;

/**
 * Runs configuration changes in three steps: prepare at every member, conditional commit, activate
 * at every member. Confined to the control thread. Invariants: nothing is committed unless every
 * live member has prepared; the operator receives "accepted" only after every live member has
 * activated; a committed change is never rolled back.
 */
public final class ChangeProposer {

    private static final long PREPARE_TIMEOUT_MILLIS = 1500;

    /**
     * How long activation may take before the operator is told that the change is not in force
     * everywhere.
     */
    private static final long ACTIVATE_TIMEOUT_MILLIS = 4000;

    private static final long RETRY_MILLIS = 200;

    /** How long the outcome of a commit is looked for. */
    private static final long READ_BACK_TIMEOUT_MILLIS = 4000;

    /** How long activation of a committed change is retried after the report to the operator. */
    private static final long BACKGROUND_MILLIS = 60_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Node mNode;

    private final Membership mMembership;

    private final ConfigurationRegistry mConfigurations;

    /** The table that holds the configuration row. */
    private final Table mTable;

    private final CoordinatorPermits.Sender mSender;

    /** The changes in progress, by id. */
    private final Map<String, Change> mChanges = new HashMap<>();

    /** The steps of a change. */
    private enum Step {
        /** Members are asked whether they can activate the change. */
        PREPARING,
        /** The row is being written or read back. */
        COMMITTING,
        /** Members are asked to activate the change. */
        ACTIVATING,
        /** The result was reported to the operator. */
        REPORTED
    }

    /** A change in progress. */
    private final class Change {

        private final String mId = UUID.randomUUID().toString();

        /** The declarations that the change results in. */
        private Declarations mNext;

        /** The tag of the row that the change replaces, or null if there was none. */
        private String mTag;

        private Step mStep = Step.PREPARING;

        /** When the step began, by the monotonic clock in nanoseconds. */
        private long mStepStartNanos = mNode.nanos().getAsLong();

        private final Set<Incarnation> mPrepared = new HashSet<>();

        private final Set<Incarnation> mActivated = new HashSet<>();

        /** Completes with the result for the operator. */
        private final CompletableFuture<Declarations> mResult = new CompletableFuture<>();

        /** Returns the milliseconds since the step began. */
        long stepMillis() {
            return (mNode.nanos().getAsLong() - mStepStartNanos) / NANOS_PER_MILLI;
        }

        /** Enters the next step. */
        void enter(Step step) {
            mStep = step;
            mStepStartNanos = mNode.nanos().getAsLong();
        }
    }

    /**
     * Creates a proposer.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param membership knows the members
     * @param configurations the declarations in force at this router
     * @param table the table that holds the configuration row
     * @param sender sends messages to routers
     */
    public ChangeProposer(
            Node node,
            Membership membership,
            ConfigurationRegistry configurations,
            Table table,
            CoordinatorPermits.Sender sender) {
        mNode = node;
        mMembership = membership;
        mConfigurations = configurations;
        mTable = table;
        mSender = sender;
    }

    /**
     * Proposes a change.
     *
     * @param edit computes the new declarations from the latest ones; may throw to refuse
     * @return the new declarations once they are in force everywhere, or a {@link
     *     TroutpierException} that says what is known
     */
    public CompletableFuture<Declarations> propose(UnaryOperator<Declarations> edit) {
        CompletableFuture<Declarations> result = new CompletableFuture<>();
        mConfigurations
                .readRow()
                .whenComplete(
                        (row, failure) ->
                                mNode.control().execute(() -> start(edit, row, failure, result)));
        return result;
    }

    /**
     * Starts a change once the latest row was read.
     *
     * @param edit computes the new declarations from the latest ones
     * @param row the latest row, or null if the table is unavailable
     * @param failure why there is no row, or null
     * @param result completes with the result for the operator
     */
    private void start(
            UnaryOperator<Declarations> edit,
            Optional<Table.Row> row,
            Throwable failure,
            CompletableFuture<Declarations> result) {
        if (failure != null) {
            result.completeExceptionally(
                    new TroutpierException(
                            ResultCode.TABLE_UNAVAILABLE, "the change was not begun"));
            return;
        }
        Change change = new Change();
        try {
            Declarations latest =
                    row.map(found -> ConfigurationRegistry.parse(found.value()))
                            .orElse(Declarations.EMPTY);
            change.mNext = edit.apply(latest).withVersion(latest.version() + 1, change.mId);
        } catch (TroutpierException exception) {
            result.completeExceptionally(exception);
            return;
        } catch (IllegalArgumentException exception) {
            result.completeExceptionally(
                    new TroutpierException(
                            ResultCode.INVALID_DECLARATION, exception.getMessage(), exception));
            return;
        }
        change.mTag = row.map(Table.Row::tag).orElse(null);
        change.mResult.whenComplete(
                (done, why) -> {
                    if (why == null) {
                        result.complete(done);
                    } else {
                        result.completeExceptionally(why);
                    }
                });
        mChanges.put(change.mId, change);
        mNode.events().record("change-proposed", change.mId, "version " + change.mNext.version());
        prepare(change);
    }

    /** Asks every member that has not prepared whether it can activate the change. */
    private void prepare(Change change) {
        if (change.mStep != Step.PREPARING) {
            return;
        }
        Set<Incarnation> waiting = membersWithoutAnswer(change.mPrepared);
        if (waiting.isEmpty()) {
            commit(change);
        } else if (change.stepMillis() > PREPARE_TIMEOUT_MILLIS) {
            reportRefusal(
                    change, ResultCode.MEMBER_REFUSED, "no answer from " + instanceNames(waiting));
        } else {
            waiting.forEach(
                    to -> mSender.send(to, new PeerMessage.Prepare(change.mId, change.mNext)));
            mNode.control().schedule(() -> prepare(change), RETRY_MILLIS);
        }
    }

    /** Handles a member's answer to a prepare message. */
    public void onPrepared(Incarnation from, PeerMessage.Prepared answer) {
        Change change = mChanges.get(answer.change());
        if (change == null || change.mStep != Step.PREPARING) {
            return;
        }
        if (!answer.obstacle().isEmpty()) {
            reportRefusal(
                    change, ResultCode.MEMBER_REFUSED, from.instance() + ": " + answer.obstacle());
            return;
        }
        change.mPrepared.add(from);
        if (membersWithoutAnswer(change.mPrepared).isEmpty()) {
            commit(change);
        }
    }

    private void commit(Change change) {
        change.enter(Step.COMMITTING);
        mNode.events().record("change-committing", change.mId, "");
        write(change, outcome -> onWritten(change, outcome));
    }

    /**
     * Writes the row on condition that it has not changed since it was read.
     *
     * @param change the change
     * @param next receives the outcome on the control thread
     */
    private void write(Change change, Consumer<Outcome> next) {
        JsonNode value = Table.toJson(change.mNext);
        CompletableFuture<WriteResult> write =
                change.mTag == null
                        ? mTable.insert(ConfigurationRegistry.ROW, value)
                        : mTable.replace(ConfigurationRegistry.ROW, change.mTag, value);
        write.exceptionally(failure -> new WriteResult(Outcome.UNKNOWN, null))
                .thenAccept(done -> mNode.control().execute(() -> next.accept(done.outcome())));
    }

    private void onWritten(Change change, Outcome outcome) {
        switch (outcome) {
            case WRITTEN -> activate(change);
            case NOT_SENT ->
                    reportRefusal(
                            change, ResultCode.TABLE_UNAVAILABLE, "the change was not committed");
            case CONFLICT ->
                    reportRefusal(
                            change, ResultCode.CHANGE_CONFLICT, "another change was committed");
            default -> readBack(change);
        }
    }

    /** Reads the row back to find the outcome of a commit whose acknowledgement was lost. */
    private void readBack(Change change) {
        mConfigurations
                .readRow()
                .whenComplete(
                        (row, failure) ->
                                mNode.control().execute(() -> onReadBack(change, row, failure)));
    }

    /**
     * Decides by the row that was read back. A row without the change proves nothing, because the
     * first write may still take effect. The same change is therefore written again; whichever
     * write takes effect, the other fails on its condition.
     *
     * @param change the change
     * @param row the row, or null
     * @param failure why there is no row, or null
     */
    private void onReadBack(Change change, Optional<Table.Row> row, Throwable failure) {
        if (failure != null) {
            if (change.stepMillis() > READ_BACK_TIMEOUT_MILLIS) {
                reportRefusal(change, ResultCode.CHANGE_IN_DOUBT, "the table does not say");
            } else {
                mNode.control().schedule(() -> readBack(change), RETRY_MILLIS);
            }
            return;
        }
        Declarations latest =
                row.map(found -> ConfigurationRegistry.parse(found.value()))
                        .orElse(Declarations.EMPTY);
        if (latest.changeId().equals(change.mId)) {
            mNode.count("configuration.acknowledgement-recovered");
            activate(change);
        } else if (latest.version() >= change.mNext.version()) {
            reportRefusal(change, ResultCode.CHANGE_CONFLICT, "another change was committed");
        } else {
            retryCommit(change);
        }
    }

    /**
     * Writes the row again because the first write is not visible. Either write may take effect;
     * both make the same change.
     */
    private void retryCommit(Change change) {
        if (change.stepMillis() > READ_BACK_TIMEOUT_MILLIS) {
            reportRefusal(change, ResultCode.CHANGE_IN_DOUBT, "the commit is not to be seen");
            return;
        }
        write(
                change,
                outcome -> {
                    if (outcome == Outcome.WRITTEN) {
                        activate(change);
                    } else {
                        mNode.control().schedule(() -> readBack(change), RETRY_MILLIS);
                    }
                });
    }

    /** Starts the activation of a committed change. */
    private void activate(Change change) {
        change.enter(Step.ACTIVATING);
        mNode.events().record("change-committed", change.mId, "");
        mConfigurations.adopt(change.mNext, "own change");
        sendActivations(change);
    }

    /**
     * Sends the activation to every member that has not confirmed it, and schedules the next try.
     */
    private void sendActivations(Change change) {
        Set<Incarnation> waiting = membersWithoutAnswer(change.mActivated);
        if (waiting.isEmpty()) {
            reportAccepted(change);
            mChanges.remove(change.mId);
            return;
        }
        if (change.mStep == Step.ACTIVATING && change.stepMillis() > ACTIVATE_TIMEOUT_MILLIS) {
            change.mResult.completeExceptionally(
                    new TroutpierException(
                            ResultCode.CHANGE_NOT_EVERYWHERE,
                            "committed as version "
                                    + change.mNext.version()
                                    + ", not confirmed by "
                                    + instanceNames(waiting)));
            change.enter(Step.REPORTED);
        }
        if (change.mStep == Step.REPORTED && change.stepMillis() > BACKGROUND_MILLIS) {
            mChanges.remove(change.mId);
            return;
        }
        waiting.forEach(to -> mSender.send(to, new PeerMessage.Activate(change.mId, change.mNext)));
        mNode.control().schedule(() -> sendActivations(change), RETRY_MILLIS);
    }

    /** Handles a member's confirmation that it has activated a change. */
    public void onActivated(Incarnation from, PeerMessage.Activated answer) {
        Change change = mChanges.get(answer.change());
        if (change == null || answer.version() < change.mNext.version()) {
            return;
        }
        change.mActivated.add(from);
        if (change.mStep == Step.ACTIVATING && membersWithoutAnswer(change.mActivated).isEmpty()) {
            reportAccepted(change);
        }
    }

    /** Tells the operator that the change is in force everywhere. */
    private void reportAccepted(Change change) {
        if (change.mResult.complete(change.mNext)) {
            mNode.events().record("change-accepted", change.mId, "");
            change.enter(Step.REPORTED);
        }
    }

    /** Tells the operator that the change was refused or that its outcome is unknown. */
    private void reportRefusal(Change change, ResultCode code, String detail) {
        mChanges.remove(change.mId);
        change.enter(Step.REPORTED);
        mNode.events().record("change-refused", change.mId, code.label() + " " + detail);
        change.mResult.completeExceptionally(new TroutpierException(code, detail));
    }

    /**
     * Returns the live members that have not answered, without this router. A leaving member need
     * not answer because it accepts no new work any more.
     */
    private Set<Incarnation> membersWithoutAnswer(Set<Incarnation> answered) {
        Set<Incarnation> missing = new LinkedHashSet<>();
        List<Membership.Member> serving = mMembership.serving();
        serving.forEach(member -> missing.add(member.incarnation()));
        missing.remove(mNode.incarnation());
        missing.removeAll(answered);
        return missing;
    }

    /** Returns the instances of members as text, sorted. */
    private static String instanceNames(Set<Incarnation> members) {
        Set<String> names = new TreeSet<>();
        members.forEach(member -> names.add(member.instance().value()));
        return String.join(", ", names);
    }
}

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
 * Carries a change through: prepare at every member, conditional commit, activate at every member.
 * Confined to the control thread. Invariants: nothing is committed unless every live member has
 * prepared; an operator hears "accepted" only after every live member has activated; once committed
 * a change is never taken back.
 */
public final class ChangeProposer {

    /** How long members may take to prepare, milliseconds. */
    private static final long PREPARE_MILLIS = 1500;

    /** How long members may take to activate before the operator hears of it, milliseconds. */
    private static final long ACTIVATE_MILLIS = 4000;

    /** How often a message is sent again, milliseconds. */
    private static final long AGAIN_MILLIS = 200;

    /** How long the fate of a commit is looked for, milliseconds. */
    private static final long READ_BACK_MILLIS = 4000;

    /** How long a committed change is carried on in the background, milliseconds. */
    private static final long CARRY_ON_MILLIS = 60_000;

    /** Nanoseconds in a millisecond. */
    private static final long NANOS = 1_000_000L;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Who the members are. */
    private final Membership mMembership;

    /** The declarations in force here. */
    private final ConfigurationRegistry mConfigurations;

    /** Where the row stands. */
    private final Table mTable;

    /** Sends a message to a router. */
    private final CoordinatorPermits.Sender mSender;

    /** The changes under way, by id. */
    private final Map<String, Change> mChanges = new HashMap<>();

    /** Which step a change is at. */
    private enum Step {
        /** Members are asked whether it could be put in force. */
        PREPARING,
        /** The row is being written or read back. */
        COMMITTING,
        /** Members are told to put it in force. */
        ACTIVATING,
        /** The operator has heard how it ended. */
        TOLD
    }

    /** One change under way. */
    private final class Change {

        /** Names it. */
        private final String mId = UUID.randomUUID().toString();

        /** What it makes. */
        private Declarations mNext;

        /** The tag of the row that it changes, or null where there was none. */
        private String mTag;

        /** Which step it is at. */
        private Step mStep = Step.PREPARING;

        /** When the step began. */
        private long mSince = mNode.nanos().getAsLong();

        /** The members that have prepared. */
        private final Set<Incarnation> mPrepared = new HashSet<>();

        /** The members that have activated. */
        private final Set<Incarnation> mActivated = new HashSet<>();

        /** Completes when the operator is told. */
        private final CompletableFuture<Declarations> mTold = new CompletableFuture<>();

        /**
         * Returns how long the step has lasted.
         *
         * @return milliseconds
         */
        long age() {
            return (mNode.nanos().getAsLong() - mSince) / NANOS;
        }

        /**
         * Goes to the next step.
         *
         * @param step the step
         */
        void step(Step step) {
            mStep = step;
            mSince = mNode.nanos().getAsLong();
        }
    }

    /**
     * Creates a proposer.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param membership who the members are
     * @param configurations the declarations in force here
     * @param table where the row stands
     * @param sender sends a message to a router
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
     * @param edit makes the new declarations of the latest; may refuse with an exception
     * @return the declarations in force everywhere, or a {@link TroutpierException} that says what
     *     is known
     */
    public CompletableFuture<Declarations> propose(UnaryOperator<Declarations> edit) {
        CompletableFuture<Declarations> told = new CompletableFuture<>();
        mConfigurations
                .row()
                .whenComplete(
                        (row, failure) ->
                                mNode.control().execute(() -> start(edit, row, failure, told)));
        return told;
    }

    /**
     * Starts a change once the latest row is known.
     *
     * @param edit makes the new declarations of the latest
     * @param row the latest row, or null where the table is away
     * @param failure why there is no row, or null
     * @param told completes when the operator is told
     */
    private void start(
            UnaryOperator<Declarations> edit,
            Optional<Table.Row> row,
            Throwable failure,
            CompletableFuture<Declarations> told) {
        if (failure != null) {
            told.completeExceptionally(
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
            told.completeExceptionally(exception);
            return;
        } catch (IllegalArgumentException exception) {
            told.completeExceptionally(
                    new TroutpierException(
                            ResultCode.INVALID_DECLARATION, exception.getMessage(), exception));
            return;
        }
        change.mTag = row.map(Table.Row::tag).orElse(null);
        change.mTold.whenComplete(
                (done, why) -> {
                    if (why == null) {
                        told.complete(done);
                    } else {
                        told.completeExceptionally(why);
                    }
                });
        mChanges.put(change.mId, change);
        mNode.events().record("change-proposed", change.mId, "version " + change.mNext.version());
        prepare(change);
    }

    /**
     * Asks every member that has not answered whether it could put the change in force.
     *
     * @param change the change
     */
    private void prepare(Change change) {
        if (change.mStep != Step.PREPARING) {
            return;
        }
        Set<Incarnation> waiting = missing(change.mPrepared);
        if (waiting.isEmpty()) {
            commit(change);
        } else if (change.age() > PREPARE_MILLIS) {
            refuse(change, ResultCode.MEMBER_REFUSED, "no answer from " + names(waiting));
        } else {
            waiting.forEach(
                    to -> mSender.send(to, new PeerMessage.Prepare(change.mId, change.mNext)));
            mNode.control().later(() -> prepare(change), AGAIN_MILLIS);
        }
    }

    /**
     * Takes a member's answer to a prepare.
     *
     * @param from the member
     * @param answer the answer
     */
    public void prepared(Incarnation from, PeerMessage.Prepared answer) {
        Change change = mChanges.get(answer.change());
        if (change == null || change.mStep != Step.PREPARING) {
            return;
        }
        if (!answer.obstacle().isEmpty()) {
            refuse(change, ResultCode.MEMBER_REFUSED, from.instance() + ": " + answer.obstacle());
            return;
        }
        change.mPrepared.add(from);
        if (missing(change.mPrepared).isEmpty()) {
            commit(change);
        }
    }

    /**
     * Writes the row.
     *
     * @param change the change
     */
    private void commit(Change change) {
        change.step(Step.COMMITTING);
        mNode.events().record("change-committing", change.mId, "");
        write(change, outcome -> written(change, outcome));
    }

    /**
     * Writes the row on the condition that it is as it was read.
     *
     * @param change the change
     * @param next hears what is known of the write, on the control thread
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

    /**
     * Goes on after the write.
     *
     * @param change the change
     * @param outcome what is known of the write
     */
    private void written(Change change, Outcome outcome) {
        switch (outcome) {
            case WRITTEN -> activate(change);
            case NOT_SENT ->
                    refuse(change, ResultCode.TABLE_UNAVAILABLE, "the change was not committed");
            case CONFLICT ->
                    refuse(change, ResultCode.CHANGE_CONFLICT, "another change was committed");
            default -> readBack(change);
        }
    }

    /**
     * Looks for the fate of a commit whose acknowledgement was lost.
     *
     * @param change the change
     */
    private void readBack(Change change) {
        mConfigurations
                .row()
                .whenComplete(
                        (row, failure) ->
                                mNode.control().execute(() -> readBack(change, row, failure)));
    }

    /**
     * Goes on after reading the row back. A row that is not yet there proves nothing: the write may
     * take effect late. So the same change is written once more; whichever of the two takes effect,
     * the other fails on its condition.
     *
     * @param change the change
     * @param row the row, or null
     * @param failure why there is none, or null
     */
    private void readBack(Change change, Optional<Table.Row> row, Throwable failure) {
        if (failure != null) {
            if (change.age() > READ_BACK_MILLIS) {
                refuse(change, ResultCode.CHANGE_IN_DOUBT, "the table does not say");
            } else {
                mNode.control().later(() -> readBack(change), AGAIN_MILLIS);
            }
            return;
        }
        Declarations found =
                row.map(one -> ConfigurationRegistry.parse(one.value())).orElse(Declarations.EMPTY);
        if (found.changeId().equals(change.mId)) {
            mNode.count("configuration.acknowledgement-recovered");
            activate(change);
        } else if (found.version() >= change.mNext.version()) {
            refuse(change, ResultCode.CHANGE_CONFLICT, "another change was committed");
        } else {
            retryCommit(change);
        }
    }

    /**
     * Writes the row again where the first write is not to be seen: either write may win, and both
     * make the same change.
     *
     * @param change the change
     */
    private void retryCommit(Change change) {
        if (change.age() > READ_BACK_MILLIS) {
            refuse(change, ResultCode.CHANGE_IN_DOUBT, "the commit is not to be seen");
            return;
        }
        write(
                change,
                outcome -> {
                    if (outcome == Outcome.WRITTEN) {
                        activate(change);
                    } else {
                        mNode.control().later(() -> readBack(change), AGAIN_MILLIS);
                    }
                });
    }

    /**
     * Begins to put a committed change in force.
     *
     * @param change the change
     */
    private void activate(Change change) {
        change.step(Step.ACTIVATING);
        mNode.events().record("change-committed", change.mId, "");
        mConfigurations.adopt(change.mNext, "own change");
        carryOn(change);
    }

    /**
     * Tells every member that has not confirmed to put the change in force.
     *
     * @param change the change
     */
    private void carryOn(Change change) {
        Set<Incarnation> waiting = missing(change.mActivated);
        if (waiting.isEmpty()) {
            tellAccepted(change);
            mChanges.remove(change.mId);
            return;
        }
        if (change.mStep == Step.ACTIVATING && change.age() > ACTIVATE_MILLIS) {
            change.mTold.completeExceptionally(
                    new TroutpierException(
                            ResultCode.CHANGE_NOT_EVERYWHERE,
                            "committed as version "
                                    + change.mNext.version()
                                    + ", not confirmed by "
                                    + names(waiting)));
            change.step(Step.TOLD);
        }
        if (change.mStep == Step.TOLD && change.age() > CARRY_ON_MILLIS) {
            mChanges.remove(change.mId);
            return;
        }
        waiting.forEach(to -> mSender.send(to, new PeerMessage.Activate(change.mId, change.mNext)));
        mNode.control().later(() -> carryOn(change), AGAIN_MILLIS);
    }

    /**
     * Takes a member's word that it has put a change in force.
     *
     * @param from the member
     * @param answer what it says
     */
    public void activated(Incarnation from, PeerMessage.Activated answer) {
        Change change = mChanges.get(answer.change());
        if (change == null || answer.version() < change.mNext.version()) {
            return;
        }
        change.mActivated.add(from);
        if (change.mStep == Step.ACTIVATING && missing(change.mActivated).isEmpty()) {
            tellAccepted(change);
        }
    }

    /**
     * Tells the operator that the change is in force everywhere.
     *
     * @param change the change
     */
    private void tellAccepted(Change change) {
        if (change.mTold.complete(change.mNext)) {
            mNode.events().record("change-accepted", change.mId, "");
            change.step(Step.TOLD);
        }
    }

    /**
     * Tells the operator that the change is refused or in doubt.
     *
     * @param change the change
     * @param code why
     * @param detail what exactly
     */
    private void refuse(Change change, ResultCode code, String detail) {
        mChanges.remove(change.mId);
        change.step(Step.TOLD);
        mNode.events().record("change-refused", change.mId, code.label() + " " + detail);
        change.mTold.completeExceptionally(new TroutpierException(code, detail));
    }

    /**
     * Lists the live members that are not among those that have answered. A leaving member takes no
     * new work and never will again, so it need not answer.
     *
     * @param answered those that have answered
     * @return the others, this router left out
     */
    private Set<Incarnation> missing(Set<Incarnation> answered) {
        Set<Incarnation> missing = new LinkedHashSet<>();
        List<Membership.Member> serving = mMembership.serving();
        serving.forEach(member -> missing.add(member.incarnation()));
        missing.remove(mNode.incarnation());
        missing.removeAll(answered);
        return missing;
    }

    /**
     * Names members for people.
     *
     * @param members the members
     * @return their instances, in order
     */
    private static String names(Set<Incarnation> members) {
        Set<String> names = new TreeSet<>();
        members.forEach(member -> names.add(member.instance().value()));
        return String.join(", ", names);
    }
}

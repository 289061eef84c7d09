package org.troutpier.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.operator.grammar.CommandBaseVisitor;
import org.troutpier.daemon.operator.grammar.CommandLexer;
import org.troutpier.daemon.operator.grammar.CommandParser;
import org.troutpier.daemon.request.ExchangeRegistry;
import org.troutpier.daemon.request.RequestExchange;

/**
 * Reads the operators' language and says what is to be done. Thread safe; rows are made on the
 * control thread. Invariant: a command names things of the operator's own partner only.
 */
public final class CommandHandler {

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The requests that this router carries. */
    private final ExchangeRegistry mRegistry;

    /** What can be shown; control thread only. */
    private final Inventory mInventory;

    /**
     * Creates a handler.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry the requests that this router carries
     * @param inventory what can be shown
     */
    CommandHandler(Node node, ExchangeRegistry registry, Inventory inventory) {
        mNode = node;
        mRegistry = registry;
        mInventory = inventory;
    }

    /** What a command comes to. */
    public sealed interface Reply {}

    /**
     * Rows to show. Immutable and thread safe.
     *
     * @param columns the names of the columns, in order
     * @param rows the rows
     */
    public record Rows(List<String> columns, List<Map<String, String>> rows) implements Reply {}

    /**
     * A change to carry through. Immutable and thread safe.
     *
     * @param edit makes the new declarations of the latest
     */
    public record Edit(UnaryOperator<Declarations> edit) implements Reply {}

    /**
     * Reads a command and says what it comes to.
     *
     * @param text the command
     * @param rights whose operator asks
     * @return the reply, or a {@link TroutpierException}
     */
    public CompletableFuture<Reply> execute(String text, Rights rights) {
        CommandParser.CommandContext command = parse(text);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        mNode.control()
                .execute(
                        () -> {
                            try {
                                reply.complete(command.accept(new Runner(rights)));
                            } catch (TroutpierException exception) {
                                reply.completeExceptionally(exception);
                            } catch (IllegalArgumentException exception) {
                                reply.completeExceptionally(
                                        new TroutpierException(
                                                ResultCode.MALFORMED_REQUEST,
                                                exception.getMessage(),
                                                exception));
                            }
                        });
        return reply;
    }

    /**
     * Parses a command.
     *
     * @param text the command
     * @return its tree; fails with the place of the first fault
     */
    private static CommandParser.CommandContext parse(String text) {
        CommandLexer lexer = new CommandLexer(CharStreams.fromString(text));
        CommandParser parser = new CommandParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        lexer.addErrorListener(new Faults());
        parser.addErrorListener(new Faults());
        return parser.command();
    }

    /** Turns a fault in a command into an exception. Stateless. */
    private static final class Faults extends BaseErrorListener {

        /** {@inheritDoc} */
        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException exception) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "column " + (column + 1) + ": " + message);
        }
    }

    /** Carries one command out. Confined to the control thread. */
    private final class Runner extends CommandBaseVisitor<Reply> {

        /** Whose operator asks. */
        private final Rights mRights;

        /**
         * Creates a runner.
         *
         * @param rights whose operator asks
         */
        Runner(Rights rights) {
            mRights = rights;
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitCommand(CommandParser.CommandContext command) {
            return command.getChild(0).accept(this);
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitShow(CommandParser.ShowContext show) {
            ResultTable shown = mInventory.show(show.thing().getText(), mRights);
            List<ResultTable.Condition> conditions = new ArrayList<>();
            for (CommandParser.ConditionContext condition : show.condition()) {
                conditions.add(
                        new ResultTable.Condition(
                                condition.field().getText(),
                                condition.operator().getText(),
                                value(condition.value())));
            }
            shown = shown.where(conditions);
            if (show.field() != null) {
                boolean descending = show.direction() != null && show.direction().DESC() != null;
                shown = shown.orderedBy(show.field().getText(), descending);
            }
            if (show.NUMBER() != null) {
                shown = shown.limited(Integer.parseInt(show.NUMBER().getText()));
            }
            return new Rows(shown.columns(), shown.rows());
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitSet(CommandParser.SetContext set) {
            ClassName name = new ClassName(set.name.getText());
            String field = set.field().getText();
            String value = value(set.value());
            return new Edit(
                    whole -> {
                        ClassDeclaration declared = ownClass(whole, name);
                        return DeclarationAccess.withClass(
                                whole, ClassFieldEditor.with(declared, field, value), mRights);
                    });
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitAssign(CommandParser.AssignContext assign) {
            UpstreamId id = new UpstreamId(assign.name.getText());
            Role role = role(assign.role.getText());
            return new Edit(
                    whole ->
                            DeclarationAccess.withUpstream(
                                    whole, upstream(whole, id).withRole(role), mRights));
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitDrain(CommandParser.DrainContext drain) {
            UpstreamId id = new UpstreamId(drain.name.getText());
            boolean draining = drain.DRAIN() != null;
            return new Edit(
                    whole ->
                            DeclarationAccess.withUpstream(
                                    whole, upstream(whole, id).withDraining(draining), mRights));
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitCancel(CommandParser.CancelContext cancel) {
            RequestExchange running = mRegistry.get(new RequestId(cancel.name.getText()));
            if (running == null || !mRights.covers(running.declared().partner())) {
                throw new TroutpierException(
                        ResultCode.MALFORMED_REQUEST,
                        "this router carries no request " + cancel.name.getText());
            }
            running.cancelBy(mRights.toString());
            return new Rows(
                    List.of("id", "state"),
                    List.of(Map.of("id", running.id().value(), "state", "cancelled")));
        }

        /**
         * Finds a class of the operator's own.
         *
         * @param whole the latest declarations
         * @param name the class
         * @return the class
         */
        private ClassDeclaration ownClass(Declarations whole, ClassName name) {
            return whole.classes().stream()
                    .filter(declared -> declared.name().equals(name))
                    .filter(declared -> mRights.covers(declared.partner()))
                    .findFirst()
                    .orElseThrow(
                            () -> new TroutpierException(ResultCode.UNKNOWN_CLASS, name.value()));
        }
    }

    /**
     * Finds an upstream.
     *
     * @param whole the latest declarations
     * @param id the upstream
     * @return the upstream
     */
    private static UpstreamDeclaration upstream(Declarations whole, UpstreamId id) {
        return whole.upstream(id)
                .orElseThrow(
                        () ->
                                new TroutpierException(
                                        ResultCode.MALFORMED_REQUEST,
                                        "there is no upstream " + id));
    }

    /**
     * Reads a role.
     *
     * @param text the role's name
     * @return the role
     */
    private static Role role(String text) {
        for (Role role : Role.values()) {
            if (role.label().equals(text.toLowerCase(Locale.ROOT))) {
                return role;
            }
        }
        throw new TroutpierException(ResultCode.MALFORMED_REQUEST, "there is no role " + text);
    }

    /**
     * Reads a value.
     *
     * @param value its tree
     * @return its text, without quotes
     */
    private static String value(CommandParser.ValueContext value) {
        String text = value.getText();
        return text.startsWith("\"") ? text.substring(1, text.length() - 1) : text;
    }
}

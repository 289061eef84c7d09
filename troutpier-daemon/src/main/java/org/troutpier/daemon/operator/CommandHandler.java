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
 * Parses and executes operators' commands. Thread safe; rows are computed on the control thread.
 * Invariant: a command accesses only what the operator's own partner owns.
 */
public final class CommandHandler {

    private final Node mNode;

    private final ExchangeRegistry mRegistry;

    /** Confined to the control thread. */
    private final Inventory mInventory;

    /**
     * Creates a handler.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry the requests that this router carries
     * @param inventory answers queries
     */
    CommandHandler(Node node, ExchangeRegistry registry, Inventory inventory) {
        mNode = node;
        mRegistry = registry;
        mInventory = inventory;
    }

    /** The result of a command. */
    public sealed interface Reply {}

    /**
     * The rows that a query returns. Immutable and thread safe.
     *
     * @param columns the names of the columns, in order
     * @param rows the rows
     */
    public record Rows(List<String> columns, List<Map<String, String>> rows) implements Reply {}

    /**
     * A change of the declarations that the command asks for. Immutable and thread safe.
     *
     * @param edit computes the new declarations from the latest ones
     */
    public record Edit(UnaryOperator<Declarations> edit) implements Reply {}

    /**
     * Executes a command.
     *
     * @param text the command
     * @param rights the rights of the operator
     * @return the reply; fails with a {@link TroutpierException}
     */
    public CompletableFuture<Reply> execute(String text, Rights rights) {
        CommandParser.CommandContext command = parse(text);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        mNode.control()
                .execute(
                        () -> {
                            try {
                                reply.complete(command.accept(new CommandExecutor(rights)));
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
     * @return its parse tree; fails with the column of the first syntax error
     */
    private static CommandParser.CommandContext parse(String text) {
        CommandLexer lexer = new CommandLexer(CharStreams.fromString(text));
        CommandParser parser = new CommandParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        lexer.addErrorListener(new SyntaxErrorListener());
        parser.addErrorListener(new SyntaxErrorListener());
        return parser.command();
    }

    /** Converts a syntax error into an exception. Stateless. */
    private static final class SyntaxErrorListener extends BaseErrorListener {

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

    /** Executes one command. Confined to the control thread. */
    private final class CommandExecutor extends CommandBaseVisitor<Reply> {

        private final Rights mRights;

        CommandExecutor(Rights rights) {
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
            ResultTable table = mInventory.show(show.thing().getText(), mRights);
            List<ResultTable.Condition> conditions = new ArrayList<>();
            for (CommandParser.ConditionContext condition : show.condition()) {
                conditions.add(
                        new ResultTable.Condition(
                                condition.field().getText(),
                                condition.operator().getText(),
                                unquote(condition.value())));
            }
            table = table.where(conditions);
            if (show.field() != null) {
                boolean descending = show.direction() != null && show.direction().DESC() != null;
                table = table.orderedBy(show.field().getText(), descending);
            }
            if (show.NUMBER() != null) {
                table = table.limit(Integer.parseInt(show.NUMBER().getText()));
            }
            return new Rows(table.columns(), table.rows());
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitSet(CommandParser.SetContext set) {
            ClassName name = new ClassName(set.name.getText());
            String field = set.field().getText();
            String value = unquote(set.value());
            return new Edit(
                    whole -> {
                        ClassDeclaration declared = findClass(whole, name);
                        return DeclarationAccess.withClass(
                                whole, ClassFieldEditor.with(declared, field, value), mRights);
                    });
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitAssign(CommandParser.AssignContext assign) {
            UpstreamId id = new UpstreamId(assign.name.getText());
            Role role = parseRole(assign.role.getText());
            return new Edit(
                    whole ->
                            DeclarationAccess.withUpstream(
                                    whole, findUpstream(whole, id).withRole(role), mRights));
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitDrain(CommandParser.DrainContext drain) {
            UpstreamId id = new UpstreamId(drain.name.getText());
            boolean draining = drain.DRAIN() != null;
            return new Edit(
                    whole ->
                            DeclarationAccess.withUpstream(
                                    whole,
                                    findUpstream(whole, id).withDraining(draining),
                                    mRights));
        }

        /** {@inheritDoc} */
        @Override
        public Reply visitCancel(CommandParser.CancelContext cancel) {
            RequestExchange running = mRegistry.get(new RequestId(cancel.name.getText()));
            if (running == null || !mRights.covers(running.requestClass().partner())) {
                throw new TroutpierException(
                        ResultCode.MALFORMED_REQUEST,
                        "this router carries no request " + cancel.name.getText());
            }
            running.cancel(mRights.toString());
            return new Rows(
                    List.of("id", "state"),
                    List.of(Map.of("id", running.id().value(), "state", "cancelled")));
        }

        /** Finds a class that the operator's rights cover. */
        private ClassDeclaration findClass(Declarations whole, ClassName name) {
            return whole.classes().stream()
                    .filter(declared -> declared.name().equals(name))
                    .filter(declared -> mRights.covers(declared.partner()))
                    .findFirst()
                    .orElseThrow(
                            () -> new TroutpierException(ResultCode.UNKNOWN_CLASS, name.value()));
        }
    }

    private static UpstreamDeclaration findUpstream(Declarations whole, UpstreamId id) {
        return whole.upstream(id)
                .orElseThrow(
                        () ->
                                new TroutpierException(
                                        ResultCode.MALFORMED_REQUEST,
                                        "there is no upstream " + id));
    }

    private static Role parseRole(String text) {
        for (Role role : Role.values()) {
            if (role.label().equals(text.toLowerCase(Locale.ROOT))) {
                return role;
            }
        }
        throw new TroutpierException(ResultCode.MALFORMED_REQUEST, "there is no role " + text);
    }

    /** Returns the text of a value without quotes. */
    private static String unquote(CommandParser.ValueContext value) {
        String text = value.getText();
        return text.startsWith("\"") ? text.substring(1, text.length() - 1) : text;
    }
}

package org.troutpier.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.table.Table;

/**
 * The declarations in force at this router. The current ones may be read anywhere; everything else
 * is confined to the control thread. Invariant: the version never falls.
 */
public final class ConfigurationRegistry {

    /** The row that holds the declarations. */
    public static final String ROW = "configuration";

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Where the row stands. */
    private final Table mTable;

    /** Whether the router takes new work. */
    private final Readiness mReadiness;

    /** Hear of new declarations, on the control thread. */
    private final List<Consumer<Declarations>> mListeners = new ArrayList<>();

    /** The declarations in force. */
    private volatile Declarations mCurrent = Declarations.EMPTY;

    /**
     * Creates a registry without declarations.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param table where the row stands
     * @param readiness whether the router takes new work
     */
    public ConfigurationRegistry(Node node, Table table, Readiness readiness) {
        mNode = node;
        mTable = table;
        mReadiness = readiness;
    }

    /**
     * Adds one that hears of new declarations.
     *
     * @param listener hears of them on the control thread
     */
    public void addListener(Consumer<Declarations> listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the declarations in force; may be called from any thread.
     *
     * @return the declarations
     */
    public Declarations current() {
        return mCurrent;
    }

    /**
     * Puts declarations in force unless they are older than those that are.
     *
     * @param next the declarations
     * @param source where they come from, for the time line
     */
    public void adopt(Declarations next, String source) {
        if (next.version() <= mCurrent.version()) {
            return;
        }
        mCurrent = next;
        mNode.events().record("version", next.changeId(), next.version() + " from " + source);
        mNode.count("configuration.adopted");
        mListeners.forEach(listener -> listener.accept(next));
    }

    /**
     * Takes note that the declarations in force are known to be the latest.
     *
     * @param source who says so
     */
    public void onValidated(String source) {
        mReadiness.setConfigured();
        mReadiness.liftFence();
    }

    /**
     * Reads the row and puts it in force.
     *
     * @return whether the table answered; the row, where there is one, is then in force
     */
    public CompletableFuture<Boolean> refresh() {
        return mTable.read(ROW)
                .handle(
                        (row, failure) -> {
                            if (failure != null) {
                                return false;
                            }
                            Declarations next =
                                    row.map(found -> parse(found.value()))
                                            .orElse(Declarations.EMPTY);
                            mNode.control().execute(() -> adopt(next, "table"));
                            return true;
                        });
    }

    /**
     * Reads the row with its tag.
     *
     * @return the row, or empty where there is none; fails where the table is away
     */
    public CompletableFuture<Optional<Table.Row>> readRow() {
        return mTable.read(ROW);
    }

    /**
     * Parses declarations from a row.
     *
     * @param value the row's value
     * @return the declarations
     */
    public static Declarations parse(JsonNode value) {
        try {
            return Json.mapper().treeToValue(value, Declarations.class);
        } catch (JsonProcessingException exception) {
            throw new TroutpierException(
                    ResultCode.INVALID_DECLARATION, exception.getOriginalMessage(), exception);
        }
    }
}

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
 * The declarations in force at this router. {@link #current()} may be called from any thread;
 * everything else is confined to the control thread. Invariant: the version never decreases.
 */
public final class ConfigurationRegistry {

    /** The key of the row that holds the declarations. */
    public static final String ROW = "configuration";

    private final Node mNode;

    private final Table mTable;

    private final Readiness mReadiness;

    private final List<Consumer<Declarations>> mListeners = new ArrayList<>();

    private volatile Declarations mCurrent = Declarations.EMPTY;

    /**
     * Creates a registry without declarations.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param table the table that holds the declarations
     * @param readiness updated when the declarations are known to be the latest
     */
    public ConfigurationRegistry(Node node, Table table, Readiness readiness) {
        mNode = node;
        mTable = table;
        mReadiness = readiness;
    }

    /**
     * Adds a listener for new declarations.
     *
     * @param listener is called on the control thread
     */
    public void addListener(Consumer<Declarations> listener) {
        mListeners.add(listener);
    }

    /** Returns the declarations in force; may be called from any thread. */
    public Declarations current() {
        return mCurrent;
    }

    /**
     * Puts declarations in force, unless their version is not newer than the current one.
     *
     * @param next the declarations
     * @param source where they come from, for the event
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
     * Called when the declarations in force are known to be the latest: the router becomes ready
     * and its fence is lifted.
     *
     * @param source who confirmed it
     */
    public void onValidated(String source) {
        mReadiness.setConfigured();
        mReadiness.liftFence();
    }

    /**
     * Reads the row and puts it in force on the control thread.
     *
     * @return whether the table answered; if so, the row is put in force before any task that is
     *     submitted to the control thread afterwards; fails if the row is invalid
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
     * @return the row, or empty if there is none; fails if the table is unavailable
     */
    public CompletableFuture<Optional<Table.Row>> readRow() {
        return mTable.read(ROW);
    }

    /**
     * Parses the value of the row.
     *
     * @param value the row's value
     * @return the declarations; fails with {@link ResultCode#INVALID_DECLARATION}
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

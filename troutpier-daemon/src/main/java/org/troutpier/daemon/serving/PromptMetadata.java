package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.common.settings.Check;

/**
 * What is known of a prompt without reading it. Immutable and thread safe.
 *
 * @param model the model asked for
 * @param promptTokens the prompt's length
 * @param outputTokens the most tokens that may come out
 * @param parts the prompt's parts in order; the last belongs to the request or its session
 */
public record PromptMetadata(String model, int promptTokens, int outputTokens, List<Part> parts) {

    /**
     * A part of a prompt, which other prompts may share. Immutable and thread safe.
     *
     * @param id names its text
     * @param tokens its length
     */
    public record Part(String id, int tokens) {}

    /** Checks the fields and copies the parts. */
    public PromptMetadata {
        Check.range("promptTokens", promptTokens, 0, Integer.MAX_VALUE);
        Check.range("outputTokens", outputTokens, 0, Integer.MAX_VALUE);
        parts = List.copyOf(parts);
    }

    /**
     * Returns how much memory the request takes at most.
     *
     * @return tokens
     */
    public long maxTokens() {
        return (long) promptTokens + outputTokens;
    }

    /**
     * Returns the part that belongs to the request or its session.
     *
     * @return the last part's id; empty for a prompt without parts
     */
    public String ownPartId() {
        return parts.isEmpty() ? "" : parts.get(parts.size() - 1).id();
    }
}

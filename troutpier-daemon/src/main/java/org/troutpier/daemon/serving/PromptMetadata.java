package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.common.settings.Check;

/**
 * Metadata of a prompt, as declared by the request's headers. Immutable and thread safe.
 *
 * @param model the requested model
 * @param promptTokens the prompt's length
 * @param outputTokens the maximum output
 * @param hintTokens the caller's guess of the output; 0 if there is none
 * @param parts the parts of the prompt in order; the last one is specific to the request or its
 *     session
 */
public record PromptMetadata(
        String model, int promptTokens, int outputTokens, int hintTokens, List<Part> parts) {

    /** Metadata of a request that declares no prompt. */
    public static final PromptMetadata NONE = new PromptMetadata("", 0, 0, 0, List.of());

    /**
     * A part of a prompt, which other prompts may share. Immutable and thread safe.
     *
     * @param id identifies the text of the part
     * @param tokens the length of the part
     */
    public record Part(String id, int tokens) {}

    /** Checks the fields and copies the parts. */
    public PromptMetadata {
        Check.range("promptTokens", promptTokens, 0, Integer.MAX_VALUE);
        Check.range("outputTokens", outputTokens, 0, Integer.MAX_VALUE);
        Check.range("hintTokens", hintTokens, 0, Integer.MAX_VALUE);
        parts = List.copyOf(parts);
    }

    /** Creates metadata without a guess of the output. */
    public PromptMetadata(String model, int promptTokens, int outputTokens, List<Part> parts) {
        this(model, promptTokens, outputTokens, 0, parts);
    }

    /**
     * Returns the most memory that the request can take.
     *
     * @return tokens
     */
    public long maxTokens() {
        return (long) promptTokens + outputTokens;
    }

    /**
     * Returns the ids of the parts that other prompts may share.
     *
     * @return the ids in order; empty for a prompt without parts
     */
    public List<String> sharedPartIds() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(Part::id).toList();
    }

    /**
     * Returns the id of the part that is specific to the request or its session.
     *
     * @return the last part's id; empty for a prompt without parts
     */
    public String ownPartId() {
        return parts.isEmpty() ? "" : parts.get(parts.size() - 1).id();
    }
}

package org.troutpier.daemon.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Computes the ids of the prefix blocks of a prompt, as the engines do in their cache events.
 * Stateless and thread safe. The ids are hints: a wrong one costs time, but does not affect
 * correctness.
 */
public final class PromptBlocks {

    /** Number of tokens in a block. */
    public static final int TOKENS_PER_BLOCK = 64;

    /** Assumed mean number of characters in a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    private PromptBlocks() {}

    /**
     * Estimates the length of a prompt.
     *
     * @return the estimated number of tokens, at least 1
     */
    public static int estimateTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns the ids of the complete blocks of a prompt. Each is a checksum of the prompt up to
     * the end of the block, combined with the index of the block.
     *
     * @return the ids, in order
     */
    public static List<Long> blockIds(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int blockBytes = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
        List<Long> ids = new ArrayList<>(bytes.length / blockBytes);
        CRC32C checksum = new CRC32C();
        for (int start = 0; start + blockBytes <= bytes.length; start += blockBytes) {
            checksum.update(bytes, start, blockBytes);
            ids.add(checksum.getValue() << Integer.SIZE | ids.size());
        }
        return ids;
    }
}

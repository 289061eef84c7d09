package org.troutpier.daemon.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Names the prefix blocks of a prompt as the engines do in their cache events. Stateless and thread
 * safe. The names are hints only: a wrong one costs time, never a promise.
 */
public final class PromptBlocks {

    /** How many tokens make a block. */
    public static final int TOKENS_PER_BLOCK = 64;

    /** How many characters are taken for a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Not to be instantiated. */
    private PromptBlocks() {}

    /**
     * Guesses the length of a prompt.
     *
     * @param prompt the prompt
     * @return tokens, at least one
     */
    public static int estimateTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Names the whole blocks of a prompt: each by a checksum over everything up to its end.
     *
     * @param prompt the prompt
     * @return the names, in order
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

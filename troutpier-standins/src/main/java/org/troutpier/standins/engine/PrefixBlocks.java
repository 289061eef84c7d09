package org.troutpier.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Cuts a prompt into blocks, each named by a checksum over everything up to its end, as engines
 * publish their prefix caches. Stateless and thread safe.
 */
public final class PrefixBlocks {

    /** How many characters make a token in the stand-ins. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    /** How many tokens make a block. */
    public static final int TOKENS_PER_BLOCK = 64;

    /** Not to be instantiated. */
    private PrefixBlocks() {}

    /**
     * Counts the tokens of a text.
     *
     * @param text the text
     * @return the tokens, at least one
     */
    public static int tokens(String text) {
        return Math.max(1, text.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Names the whole blocks of a prompt.
     *
     * @param prompt the prompt
     * @return the names, in order
     */
    public static List<Long> of(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int blockBytes = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
        List<Long> names = new ArrayList<>();
        CRC32C checksum = new CRC32C();
        for (int start = 0; start + blockBytes <= bytes.length; start += blockBytes) {
            checksum.update(bytes, start, blockBytes);
            names.add(checksum.getValue() << Integer.SIZE | names.size());
        }
        return names;
    }

    /**
     * Returns the mark of a prompt, from which the stand-ins make the answer.
     *
     * @param prompt the prompt
     * @return the mark, hexadecimal
     */
    public static String mark(String prompt) {
        CRC32C checksum = new CRC32C();
        checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(checksum.getValue());
    }

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param mark the prompt's mark
     * @param index the token's place in the answer
     * @return the token's text
     */
    public static String token(String mark, int index) {
        return mark + "-" + index + " ";
    }
}

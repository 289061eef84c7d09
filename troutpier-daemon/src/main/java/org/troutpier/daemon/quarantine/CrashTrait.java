package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.settings.Check;

/**
 * A property by which requests that crash upstreams are recognized when they come again.
 * Implementations are immutable and thread safe, and equal exactly if their keys are.
 */
public sealed interface CrashTrait permits RequestFingerprint, CrashTrait.ForPart {

    /**
     * Returns the key, which identifies the trait in messages and rows.
     *
     * @return at most {@value ForPart#MAX_KEY_LENGTH} characters
     */
    @JsonValue
    String key();

    /** Returns the short name for log lines and operators. */
    String shortName();

    /** Returns the trait as a field of a log line. */
    String logField();

    /** Returns whether a name, as operators enter it, is the key of this trait or begins it. */
    boolean isNamed(String name);

    /**
     * Parses a key.
     *
     * @throws IllegalArgumentException if it identifies no trait
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static CrashTrait parse(String key) {
        return key != null && key.startsWith(ForPart.PREFIX)
                ? new ForPart(key)
                : new RequestFingerprint(key);
    }

    /**
     * A part of a prompt that other prompts may share, identified by its id alone: it crashes
     * upstreams at any position in a prompt and for any caller.
     *
     * @param key {@value #PREFIX} and the part's id, or a hash of an id that is long or contains
     *     other characters than letters, digits, dots, hyphens and underscores
     */
    record ForPart(String key) implements CrashTrait {

        /** Prefix of all keys of parts; it occurs in no key of another trait. */
        static final String PREFIX = "part:";

        /** Marks a hashed id; it occurs in no other id. */
        private static final String HASH_MARK = "~";

        /** Maximum length of a key. */
        static final int MAX_KEY_LENGTH = 72;

        /** Length of an id in short names. */
        private static final int SHORT_LENGTH = 8;

        private static final Pattern ID = Pattern.compile("[0-9A-Za-z._-]{1,64}");

        private static final Pattern KEY = Pattern.compile(PREFIX + HASH_MARK + "?" + ID);

        /**
         * Validates the key.
         *
         * @throws IllegalArgumentException if it is not valid
         */
        public ForPart {
            Check.that("part", KEY.matcher(key).matches(), "must be " + PREFIX + " and an id");
        }

        /** Returns the trait of a part. */
        public static ForPart of(String id) {
            boolean plain = ID.matcher(id).matches();
            return new ForPart(PREFIX + (plain ? id : HASH_MARK + Tokens.hash(id)));
        }

        /** {@inheritDoc} */
        @Override
        public String shortName() {
            return key.substring(0, Math.min(key.length(), PREFIX.length() + SHORT_LENGTH));
        }

        /** Returns the start of the part's id, for log lines. */
        public String shortId() {
            return shortName().substring(PREFIX.length());
        }

        /** {@inheritDoc} */
        @Override
        public String logField() {
            return "part=" + shortId();
        }

        /** {@inheritDoc} */
        @Override
        public boolean isNamed(String name) {
            return name.equals(key)
                    || name.length() >= shortName().length() && key.startsWith(name);
        }

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return shortName();
        }
    }
}

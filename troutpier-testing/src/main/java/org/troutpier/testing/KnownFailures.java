package org.troutpier.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The tests that are known to fail because of an open fault, as listed in the file {@code
 * KNOWN-RED.txt}. Immutable and thread safe. Invariants: there are at most {@link #MAX_FAILURES},
 * and each line has a test, the command and seed that reproduce the fault, the symptom, and an open
 * issue.
 */
public final class KnownFailures {

    /** Maximum number of known failures: more would hide a broken build. */
    public static final int MAX_FAILURES = 3;

    /** The file's name, at the root of the repository. */
    public static final String FILE = "KNOWN-RED.txt";

    /** System property with the root of the repository, set by the build. */
    private static final String ROOT_PROPERTY = "troutpier.root";

    /** Separates the parts of a line. */
    private static final Pattern SEPARATOR = Pattern.compile("\\s+\\|\\s+");

    /** Number of parts of a line: the test, the command, the symptom, the issue. */
    private static final int PARTS = 4;

    /** Prefix of a comment line. */
    private static final String COMMENT = "#";

    /** Separates the class from the method. */
    private static final String METHOD = "#";

    /** The symptom of each test, by {@code CLASS#METHOD}. */
    private final Map<String, String> mSymptoms = new HashMap<>();

    /**
     * Reads lines.
     *
     * @param lines the file's lines
     * @throws IllegalArgumentException if a line is incomplete, a test is listed twice, or too many
     *     are listed
     */
    public KnownFailures(List<String> lines) {
        lines.stream()
                .map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith(COMMENT))
                .forEach(this::add);
        if (mSymptoms.size() > MAX_FAILURES) {
            throw new IllegalArgumentException(
                    FILE
                            + " lists "
                            + mSymptoms.size()
                            + " tests, but at most "
                            + MAX_FAILURES
                            + " are allowed");
        }
    }

    /**
     * Reads the file of the repository that is being built.
     *
     * @return the tests that it lists; none where there is no such file
     */
    public static KnownFailures forRepository() {
        Path file = root().resolve(FILE);
        try {
            return new KnownFailures(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns the root of the repository.
     *
     * @return its directory; the working directory if the property is not set, as in an IDE
     */
    static Path root() {
        return Path.of(System.getProperty(ROOT_PROPERTY, ""));
    }

    /**
     * Parses and adds a line.
     *
     * @param line the line
     */
    private void add(String line) {
        String[] parts = SEPARATOR.split(line);
        if (parts.length != PARTS || !parts[0].contains(METHOD)) {
            throw new IllegalArgumentException(
                    "expected CLASS#METHOD | command and seed | symptom | open issue but got: "
                            + line);
        }
        if (mSymptoms.put(parts[0], parts[2]) != null) {
            throw new IllegalArgumentException("listed twice: " + parts[0]);
        }
    }

    /**
     * Returns the recorded symptom of a test that is known to fail.
     *
     * @param test its {@code CLASS#METHOD}
     * @return the symptom, or empty if the test is not listed
     */
    public Optional<String> symptom(String test) {
        return Optional.ofNullable(mSymptoms.get(test));
    }

    /** Returns the name of a test in the file. */
    public static String qualifiedName(String className, String method) {
        return className + METHOD + method;
    }

    /**
     * Returns the listed tests that do not exist in any module.
     *
     * @param root the root of the repository, whose direct subdirectories are the modules
     * @throws IOException if a file cannot be read
     */
    public List<String> missingTests(Path root) throws IOException {
        try (Stream<Path> modules = Files.list(root)) {
            List<Path> sources = modules.map(module -> module.resolve("src/test/java")).toList();
            return mSymptoms.keySet().stream()
                    .filter(test -> !exists(test, sources))
                    .sorted()
                    .toList();
        }
    }

    /**
     * Returns whether a test exists in one of the modules.
     *
     * @return whether it does
     */
    private static boolean exists(String test, List<Path> sources) {
        String[] name = test.split(METHOD, 2);
        String file = name[0].replace('.', '/') + ".java";
        String method = "public void " + name[1] + "(";
        return sources.stream()
                .map(source -> source.resolve(file))
                .filter(Files::exists)
                .anyMatch(path -> readText(path).contains(method));
    }

    private static String readText(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}

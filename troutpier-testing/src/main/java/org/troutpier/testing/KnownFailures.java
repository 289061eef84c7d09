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
 * The tests that fail for a fault which is known and not mended yet, as the file {@code
 * KNOWN-RED.txt} lists them. Immutable and thread safe. Invariants: there are {@link #MOST} at
 * most, and each line has a test, the command and seed that show the fault, what was seen, and an
 * open issue.
 */
public final class KnownFailures {

    /** How many failures may be known at once: more would hide a build that is broken. */
    public static final int MOST = 3;

    /** The file's name, at the root of the repository. */
    public static final String FILE = "KNOWN-RED.txt";

    /** The system property that names the root of the repository, set by the build. */
    private static final String ROOT_PROPERTY = "troutpier.root";

    /** Separates the parts of a line. */
    private static final Pattern SEPARATOR = Pattern.compile("\\s+\\|\\s+");

    /** How many parts a line has: the test, the command, what was seen, the issue. */
    private static final int PARTS = 4;

    /** What starts a line that lists nothing. */
    private static final String COMMENT = "#";

    /** What stands between a class and a method. */
    private static final String METHOD = "#";

    /** What was seen, by test. */
    private final Map<String, String> mSeen = new HashMap<>();

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
        if (mSeen.size() > MOST) {
            throw new IllegalArgumentException(
                    FILE + " lists " + mSeen.size() + " tests, at most " + MOST + " may be");
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
     * @return its folder; the working directory where the build does not say, as in an editor
     */
    static Path root() {
        return Path.of(System.getProperty(ROOT_PROPERTY, ""));
    }

    /**
     * Takes a line.
     *
     * @param line the line
     */
    private void add(String line) {
        String[] parts = SEPARATOR.split(line);
        if (parts.length != PARTS || !parts[0].contains(METHOD)) {
            throw new IllegalArgumentException(
                    "not CLASS#METHOD | command and seed | what was seen | open issue: " + line);
        }
        if (mSeen.put(parts[0], parts[2]) != null) {
            throw new IllegalArgumentException("listed twice: " + parts[0]);
        }
    }

    /**
     * Returns what was seen of a test that is known to fail.
     *
     * @param test its class and method
     * @return what was seen, or empty where the test is not listed
     */
    public Optional<String> symptom(String test) {
        return Optional.ofNullable(mSeen.get(test));
    }

    /**
     * Names a test as the file does.
     *
     * @param className its class with the package
     * @param method its method
     * @return its name in the file
     */
    public static String name(String className, String method) {
        return className + METHOD + method;
    }

    /**
     * Returns the listed tests that no module has.
     *
     * @param root the repository's folder, whose direct subfolders are the modules
     * @return their names
     * @throws IOException if a file cannot be read
     */
    public List<String> missingTests(Path root) throws IOException {
        try (Stream<Path> modules = Files.list(root)) {
            List<Path> sources = modules.map(module -> module.resolve("src/test/java")).toList();
            return mSeen.keySet().stream().filter(test -> !stands(test, sources)).sorted().toList();
        }
    }

    /**
     * Returns whether a test stands in one of the modules.
     *
     * @param test the test
     * @param sources the modules' folders of tests
     * @return whether it does
     */
    private static boolean stands(String test, List<Path> sources) {
        String[] name = test.split(METHOD, 2);
        String file = name[0].replace('.', '/') + ".java";
        String method = "public void " + name[1] + "(";
        return sources.stream()
                .map(source -> source.resolve(file))
                .filter(Files::exists)
                .anyMatch(path -> text(path).contains(method));
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its text
     */
    private static String text(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}

package org.troutpier.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

/** Reads declarations from files. Stateless and thread safe. */
final class DeclarationFiles {

    private DeclarationFiles() {}

    /**
     * Reads all YAML files of a directory, or one file.
     *
     * @return the declarations in it; fails with a {@link CliException} that names every file, line
     *     and field that is wrong
     */
    static DeclarationPart read(Path path) {
        DeclarationPart part = DeclarationPart.EMPTY;
        StringBuilder faults = new StringBuilder();
        for (Path file : files(path)) {
            try {
                part = part.plus(CheckedYaml.read(file, DeclarationPart.class));
            } catch (TroutpierException exception) {
                faults.append(faults.isEmpty() ? "" : "\n").append(exception.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw new CliException(ExitCode.WRONG_INPUT, faults.toString());
        }
        return part;
    }

    /**
     * Lists the YAML files.
     *
     * @return the files, in the order of their names
     */
    private static List<Path> files(Path path) {
        if (Files.isRegularFile(path)) {
            return List.of(path);
        }
        try (Stream<Path> files = Files.list(path)) {
            List<Path> found =
                    files.filter(file -> file.toString().matches(".*\\.ya?ml")).sorted().toList();
            if (found.isEmpty()) {
                throw new CliException(ExitCode.WRONG_INPUT, path + " has no YAML files");
            }
            return found;
        } catch (IOException exception) {
            throw new CliException(ExitCode.WRONG_INPUT, path + " cannot be read");
        }
    }
}

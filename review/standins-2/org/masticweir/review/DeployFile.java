package org.masticweir.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The project's deploy file, of which only the commands are read. */
final class DeployFile {
    private static final String RUN = "run = \"";

    private final List<String> lines;

    private DeployFile(List<String> lines) {
        this.lines = lines;
    }

    static DeployFile read(Path root) throws IOException {
        return new DeployFile(Files.readAllLines(root.resolve("deploy/system.toml")));
    }

    /** Returns the program of a role and its arguments, split at spaces. */
    List<String> command(String role) {
        boolean isInRole = false;
        for (String line : lines) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith(RUN)) {
                return List.of(line.substring(RUN.length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IllegalStateException("the deploy file has no role " + role);
    }
}

package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.PathConverter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.masticweir.config.Deployment;
import org.masticweir.config.DeploymentDocument;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** The file argument of the {@code config} commands, read and checked without a router. */
final class DocumentFile {
    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path path;

    /**
     * Returns the file's text and what it declares.
     *
     * @throws MasticweirException with code {@code SETTINGS_INVALID} if there is a problem
     */
    Content read() {
        checkNotNull(path, "path");
        try {
            String text = Files.readString(path);
            return new Content(text, DeploymentDocument.parse(path.toString(), text, 1));
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID,
                    Verdict.NOT_RUN,
                    path + ": the file cannot be read: " + e,
                    e);
        }
    }

    /**
     * A checked document.
     *
     * @param deployment what it declares; its revision says nothing, the router gives it one
     */
    record Content(String text, Deployment deployment) {}
}

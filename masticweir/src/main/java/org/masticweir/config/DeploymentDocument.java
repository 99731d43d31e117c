package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.settings.Checked;
import org.masticweir.settings.IniSection;
import org.masticweir.settings.IniText;
import org.masticweir.settings.ProblemLog;

/**
 * Reads the INI text of a deployment and checks the whole of it.
 *
 * <p>Sections are {@code [class.NAME]}, {@code [team.NAME]}, {@code [model.NAME]} and {@code
 * [engines.NAME]}; {@link DocumentSection} lists their keys. Stateless and thread-safe.
 */
public final class DeploymentDocument {
    /** Longest document accepted, in characters: 4,500 teams take about 600,000. */
    public static final int MAX_CHARS = 2_000_000;

    /** Most sections of a document, of all kinds together. */
    public static final int MAX_SECTIONS = 10_000;

    private DeploymentDocument() {}

    /**
     * Returns the deployment that {@code text} declares.
     *
     * @param source name of the file or other origin, for messages
     * @param revision the revision that the text has or would get
     * @throws org.masticweir.error.MasticweirException with code {@code SETTINGS_INVALID} and every
     *     problem's sentence
     */
    public static Deployment parse(String source, String text, long revision) {
        return check(source, text, revision).orElseThrow();
    }

    /** Returns the deployment that {@code text} declares, or every problem with it. */
    public static Checked<Deployment> check(String source, String text, long revision) {
        checkNotNull(text, "text");
        checkArgument(revision >= 1, "revision %s below 1", revision);
        ProblemLog log = ProblemLog.of(source);
        IniText ini = IniText.parse(text, MAX_CHARS, MAX_SECTIONS, log);
        DeploymentReader reader = new DeploymentReader(log);
        for (IniSection section : ini.sections()) {
            reader.read(section);
        }
        reader.checkWhole();
        return log.result(() -> reader.deployment(revision));
    }
}

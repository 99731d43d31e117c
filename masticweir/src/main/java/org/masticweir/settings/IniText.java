package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.StringReader;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * INI text taken apart into sections; immutable.
 *
 * <p>Values are read from the parser's nodes as they stand. The library's own getters would expand
 * {@code ${...}} from the environment, which a deployment document must not reach.
 */
public final class IniText {
    private final List<IniSection> sections;

    private IniText(List<IniSection> sections) {
        this.sections = ImmutableList.copyOf(sections);
    }

    /**
     * Takes {@code text} apart and records what is wrong with its form.
     *
     * @param maxChars longest text accepted, in characters
     * @param maxSections most sections accepted
     */
    public static IniText parse(String text, int maxChars, int maxSections, ProblemLog log) {
        checkNotNull(text, "text");
        checkNotNull(log, "log");
        if (text.length() > maxChars) {
            log.add("", "", text.length() + " characters", "at most " + maxChars + " characters");
            return new IniText(List.of());
        }
        List<ImmutableNode> nodes = read(text, log).getChildren();
        if (nodes.size() > maxSections) {
            log.add("", "", nodes.size() + " sections", "at most " + maxSections + " sections");
            return new IniText(List.of());
        }
        ImmutableList.Builder<IniSection> sections = ImmutableList.builder();
        for (ImmutableNode node : nodes) {
            if (node.getValue() == null) {
                sections.add(IniSection.of(node, log));
            } else {
                log.add("", node.getNodeName(), node.getValue().toString(), "keys in sections");
            }
        }
        return new IniText(sections.build());
    }

    /** Returns the sections in the order of the text. */
    public List<IniSection> sections() {
        return sections;
    }

    /** Returns a section without keys, for one that a text leaves out. */
    public static IniSection emptySection(String name, ProblemLog log) {
        return IniSection.empty(name, log);
    }

    private static ImmutableNode read(String text, ProblemLog log) {
        SectionCountingIni ini = new SectionCountingIni(log);
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            log.add("", "", String.valueOf(e.getMessage()), "INI text");
        }
        return ini.getNodeModel().getInMemoryRepresentation();
    }

    /**
     * Records each section that stands twice.
     *
     * <p>The library merges such sections without a word; an operator who pasted a section twice
     * would see one of the two in force and not know which.
     */
    private static final class SectionCountingIni extends INIConfiguration {
        private final Set<String> seen = new HashSet<>();
        private final ProblemLog log;

        SectionCountingIni(ProblemLog log) {
            this.log = log;
        }

        @Override
        protected boolean isSectionLine(String line) {
            boolean section = super.isSectionLine(line);
            if (section && !seen.add(line)) {
                log.add(line.substring(1, line.length() - 1), "", "", "each section once");
            }
            return section;
        }
    }
}

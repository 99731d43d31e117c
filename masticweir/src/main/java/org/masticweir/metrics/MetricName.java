package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/** Names of metrics with labels, as the usual text form writes them; stateless. */
public final class MetricName {
    private static final Pattern WORD = Pattern.compile("[a-z][a-z0-9_]*");
    private static final char LABELS = '{';

    private MetricName() {}

    /**
     * Returns the name of one series in a registry, such as {@code answer_ms{class="reports"}}.
     *
     * @param labelsAndValues each label and its value in turn
     */
    public static String of(String family, String... labelsAndValues) {
        checkWord("family", family);
        checkArgument(labelsAndValues.length % 2 == 0, "a label without a value");
        StringBuilder name = new StringBuilder(family).append(LABELS);
        for (int i = 0; i < labelsAndValues.length; i += 2) {
            checkWord("label", labelsAndValues[i]);
            name.append(i == 0 ? "" : ",")
                    .append(labelsAndValues[i])
                    .append("=\"")
                    .append(escaped(labelsAndValues[i + 1]))
                    .append('"');
        }
        return name.append('}').toString();
    }

    /** Returns what stands before the labels. */
    static String family(String name) {
        int at = name.indexOf(LABELS);
        return at < 0 ? name : name.substring(0, at);
    }

    /** Returns the labels without their braces; empty if there are none. */
    static String labels(String name) {
        int at = name.indexOf(LABELS);
        return at < 0 ? "" : name.substring(at + 1, name.length() - 1);
    }

    private static void checkWord(String what, String word) {
        checkNotNull(word, "%s", what);
        checkArgument(WORD.matcher(word).matches(), "%s is no word: %s", what, word);
    }

    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}

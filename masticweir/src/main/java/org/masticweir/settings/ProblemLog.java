package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Collects the problems of one text; not thread-safe, owned by the reader of that text. */
public final class ProblemLog {
    /** Problems kept of one text; bounds the answer to a hostile or wholly wrong file. */
    static final int MAX_PROBLEMS = 100;

    private final String source;
    private final List<Problem> problems = new ArrayList<>();

    private ProblemLog(String source) {
        this.source = checkNotNull(source, "source");
    }

    /** Returns an empty log for the text that {@code source} names. */
    public static ProblemLog of(String source) {
        return new ProblemLog(source);
    }

    /** Records a problem; the parts are those of {@link Problem}. */
    public void add(String section, String key, String value, String allowed) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(new Problem(source, section, key, value, allowed));
        }
    }

    /** Tells whether nothing was recorded; values read after a problem are not to be used. */
    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /**
     * Returns the result: what {@code value} gives when nothing was recorded, else the problems.
     */
    public <T> Checked<T> result(Supplier<T> value) {
        return isEmpty() ? Checked.valid(value.get()) : Checked.invalid(problems);
    }
}

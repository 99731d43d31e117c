package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/**
 * The result of checking a text: a value, or every problem that was found; immutable.
 *
 * @param value present exactly when there is no problem
 */
public record Checked<T>(Optional<T> value, List<Problem> problems) {
    public Checked {
        checkNotNull(value, "value");
        problems = ImmutableList.copyOf(problems);
        checkArgument(value.isPresent() == problems.isEmpty(), "a value or problems, not both");
    }

    static <T> Checked<T> valid(T value) {
        return new Checked<>(Optional.of(value), List.of());
    }

    static <T> Checked<T> invalid(List<Problem> problems) {
        return new Checked<>(Optional.empty(), problems);
    }

    /** Returns the value, or throws {@code SETTINGS_INVALID} with every problem on its own line. */
    public T orElseThrow() {
        return value.orElseThrow(
                () ->
                        MasticweirException.notRun(
                                ErrorCode.SETTINGS_INVALID, String.join("\n", sentences())));
    }

    /** Returns the problems' sentences in the order in which they were found. */
    public List<String> sentences() {
        return problems.stream().map(Problem::sentence).collect(Collectors.toUnmodifiableList());
    }
}

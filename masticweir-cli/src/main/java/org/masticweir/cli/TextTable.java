package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Lays rows out in aligned columns; not thread-safe. */
final class TextTable {
    private static final String GAP = "  ";
    private static final String ABSENT = "-";

    private final int columns;
    private final List<List<String>> rows = new ArrayList<>();

    private TextTable(String... heads) {
        columns = heads.length;
        rows.add(ImmutableList.copyOf(heads));
    }

    static TextTable of(String... heads) {
        return new TextTable(heads);
    }

    /** Adds a row with one cell for each head; a null cell shows that the router left it out. */
    TextTable row(Object... cells) {
        checkArgument(cells.length == columns, "%s cells for %s heads", cells.length, columns);
        ImmutableList.Builder<String> row = ImmutableList.builder();
        for (Object cell : cells) {
            row.add(cell == null || cell.equals("") ? ABSENT : cell.toString());
        }
        rows.add(row.build());
        return this;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(Strings.padEnd(row.get(i), width(i), ' ')).append(GAP);
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
        return out.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}

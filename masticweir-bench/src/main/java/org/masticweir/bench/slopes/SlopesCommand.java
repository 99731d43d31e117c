package org.masticweir.bench.slopes;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.report.ResultJson;

/** Fits a line to each cost that {@code slope-point} measured, and writes JSON and a table. */
@Parameters(commandDescription = "fit a line to each cost measured by slope-point")
public final class SlopesCommand implements BenchCommand {
    @Parameter(names = "--out", description = "directory of the points and of the result")
    private String out = "target/slopes";

    @Override
    public String name() {
        return "slopes";
    }

    @Override
    public int run() {
        ImmutableList<CostFit> fits = CostFit.all(points());
        if (fits.isEmpty()) {
            System.err.println("slopes: no sweep has points of four sizes in " + out);
            return 1;
        }
        String table = SlopeTable.of(fits);
        ResultJson.write(Path.of(out, "slopes.json"), new Result(fits));
        try {
            Files.writeString(Path.of(out, "slopes.md"), table);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        System.out.print(table);
        return 0;
    }

    private ImmutableList<SlopePoint> points() {
        try (Stream<Path> files = Files.list(Path.of(out, "points"))) {
            return files.sorted()
                    .map(f -> ResultJson.read(f, SlopePoint.class))
                    .collect(toImmutableList());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What the JSON file holds. */
    record Result(List<CostFit> fits) {}
}

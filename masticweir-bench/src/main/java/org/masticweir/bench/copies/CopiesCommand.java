package org.masticweir.bench.copies;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import org.masticweir.bench.BenchCommand;
import org.masticweir.recovery.copy.CopyLinkLimits;

/** Measures what copies cost a router at a number of holders, with the links in this process. */
@Parameters(commandDescription = "cost of copied tokens by the number of holders")
public final class CopiesCommand implements BenchCommand {
    @Parameter(names = "--holders", description = "numbers of holders, one measurement each")
    private List<Integer> holders = List.of(1, 7, 42);

    @Parameter(names = "--frames-per-s", description = "bounds of frames, one measurement each")
    private List<Integer> bounds = List.of(1_000_000, 8_000);

    @Parameter(names = "--streams", description = "generations at once")
    private int streams = 623;

    @Parameter(names = "--gap-ms", description = "time between a stream's tokens")
    private long gapMs = 27;

    @Parameter(names = "--settle-s", description = "time before each measurement")
    private long settleS = 4;

    @Parameter(names = "--window-s", description = "time that is measured")
    private long windowS = 6;

    @Override
    public String name() {
        return "copies";
    }

    @Override
    public int run() {
        System.out.println(CopyPoint.header());
        for (int count : holders) {
            for (int bound : bounds) {
                System.out.println(measure(count, bound).line());
            }
        }
        return 0;
    }

    private CopyPoint measure(int count, int bound) {
        CopyLinkLimits limits = CopyLinkLimits.defaults().withFramesPerS(bound);
        try (CopyRun run = new CopyRun(count, streams, limits)) {
            return run.measure(gapMs, Duration.ofSeconds(settleS), Duration.ofSeconds(windowS));
        }
    }
}

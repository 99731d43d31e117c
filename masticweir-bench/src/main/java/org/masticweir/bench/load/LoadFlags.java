package org.masticweir.bench.load;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.bench.demo.NoSplitter;

/** The flags that shape a load; JCommander fills its fields. */
public final class LoadFlags {
    private static final long MS_PER_S = 1000;

    @Parameter(names = "--mix", description = "spaarstraal or tubercolo")
    private Mix mix = Mix.SPAARSTRAAL;

    @Parameter(names = "--seconds", description = "how long calls arrive")
    private double seconds = 20;

    @Parameter(names = "--rate", description = "mean arrivals a second, over all routers")
    private double rate = 10;

    @Parameter(names = "--seed", description = "of arrivals, classes, teams and lengths")
    private long seed = 1;

    @Parameter(names = "--scale-tokens", description = "factor on all lengths")
    private double scaleTokens = 1;

    @Parameter(names = "--drain-s", description = "longest wait for answers after the last call")
    private long drainS = 30;

    @Parameter(
            names = "--returns",
            description = "times that a refused caller comes back when it was told to")
    private int returns;

    @Parameter(
            names = "--burst",
            splitter = NoSplitter.class,
            description = "team,class,from_ms,for_ms,rate: more calls of a team; may be repeated")
    private List<String> bursts = new ArrayList<>();

    /** Returns the load asked for. */
    public LoadShape shape() {
        return new LoadShape(
                mix,
                seconds,
                rate,
                seed,
                scaleTokens,
                returns,
                bursts.stream().map(Burst::parse).toList());
    }

    /** Returns how long to wait for answers after the last arrival. */
    public long drainMs() {
        return drainS * MS_PER_S;
    }
}

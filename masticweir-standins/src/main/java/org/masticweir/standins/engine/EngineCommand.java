package org.masticweir.standins.engine;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.base.Ascii;
import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.engine.Vendor;
import org.masticweir.standins.StandInCommand;
import org.masticweir.standins.StandInLogging;
import org.masticweir.standins.http.ListenAddress;
import org.masticweir.time.Clock;

/** The sub-command that starts a model engine's stand-in. */
@Parameters(commandDescription = "a model engine")
public final class EngineCommand implements StandInCommand {
    @Parameter(names = "--listen", converter = ListenAddress.class, required = true)
    private InetSocketAddress listen;

    @Parameter(names = "--id", required = true)
    private String id;

    @Parameter(names = "--vendor")
    private String vendor = "counts";

    @Parameter(names = "--models", description = "model:version[:adapter], separated by commas")
    private List<String> models = ImmutableList.of("report:1");

    @Parameter(names = "--max-batch")
    private int maxBatch = 16;

    @Parameter(names = "--max-waiting")
    private int maxWaiting = 64;

    @Parameter(names = "--step-ms")
    private long stepMs = 20;

    @Parameter(names = "--step-per-sequence-us")
    private long stepPerSequenceUs = 100;

    @Parameter(names = "--prefill-us-per-token")
    private long prefillUsPerToken = 100;

    @Parameter(names = "--cache-tokens")
    private int cacheTokens = 65_536;

    @Parameter(names = "--load-lag-ms")
    private long loadLagMs = 200;

    @Parameter(names = "--cache-event-lag-ms")
    private long cacheEventLagMs = 200;

    @Parameter(names = "--cache-event-drop", description = "share of events dropped, 0 to 1")
    private double cacheEventDrop;

    @Parameter(names = "--seed", description = "of the choice of events dropped")
    private long seed = 1;

    @Parameter(names = "--checks-fencing", arity = 1)
    private boolean checksFencing = true;

    @Parameter(names = "--keep-ms")
    private long keepMs = 30_000;

    @Parameter(names = "--stamp-tokens", description = "tokens tell when they were computed")
    private boolean stampTokens;

    @Parameter(names = "--log-level")
    private String logLevel = "INFO";

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public void start() {
        StandInLogging.start(logLevel);
        EngineStandIn.start(settings(), Clock.system()).printReady();
    }

    /** Returns the settings that the parsed flags make; throws when one is out of range. */
    EngineSettings settings() {
        return new EngineSettings(
                listen,
                id,
                vendor(),
                models.stream().map(LoadedModel::parse).collect(ImmutableList.toImmutableList()),
                maxBatch,
                maxWaiting,
                stepMs,
                stepPerSequenceUs,
                prefillUsPerToken,
                cacheTokens,
                loadLagMs,
                cacheEventLagMs,
                cacheEventDrop,
                seed,
                checksFencing,
                keepMs,
                stampTokens);
    }

    private Vendor vendor() {
        return Enums.getIfPresent(Vendor.class, Ascii.toUpperCase(vendor))
                .toJavaUtil()
                .orElseThrow(() -> new ParameterException("unknown vendor " + vendor));
    }
}

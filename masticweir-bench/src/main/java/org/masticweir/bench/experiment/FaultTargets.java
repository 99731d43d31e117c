package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.masticweir.bench.standin.EngineProcess;
import org.masticweir.bench.standin.EngineRecorder;
import org.masticweir.bench.standin.StandInControl;

/** The stand-ins of one run that faults may strike; thread-safe, blocks. */
final class FaultTargets {
    private final StandInControl control;
    private final EngineRecorder recorder;
    private final ImmutableMap<String, EngineProcess> engines;
    private final Optional<InetSocketAddress> platform;
    private final Optional<InetSocketAddress> proxy;

    FaultTargets(
            StandInControl control,
            EngineRecorder recorder,
            List<EngineProcess> engines,
            Optional<InetSocketAddress> platform,
            Optional<InetSocketAddress> proxy) {
        this.control = checkNotNull(control, "control");
        this.recorder = checkNotNull(recorder, "recorder");
        this.engines = Maps.uniqueIndex(engines, EngineProcess::id);
        this.platform = checkNotNull(platform, "platform");
        this.proxy = checkNotNull(proxy, "proxy");
    }

    /** Kills an engine, once its records have been read. */
    boolean kill(String engine) {
        EngineProcess process = find(engine);
        recorder.beforeKill(process);
        process.kill();
        return true;
    }

    boolean engine(String engine, String json) {
        return control.control(find(engine).address(), json);
    }

    boolean platform(String json) {
        return platform.isPresent() && control.control(platform.get(), json);
    }

    boolean route(String route, String mode) {
        String json = "{\"route\":\"" + route + "\",\"mode\":\"" + mode + "\"}";
        return proxy.isPresent() && control.control(proxy.get(), json);
    }

    private EngineProcess find(String engine) {
        EngineProcess process = engines.get(engine);
        checkArgument(process != null, "no engine %s", engine);
        return process;
    }
}

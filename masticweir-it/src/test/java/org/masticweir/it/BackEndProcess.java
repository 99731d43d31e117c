package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.masticweir.http.IpAddress;

/** A model engine or plain service that can be killed and started again at its address. */
final class BackEndProcess {
    private static final int HEAP_MB = 64;
    private static final String ANY_PORT = "127.0.0.1:0";

    /** What stands at a back end's address. */
    enum Kind {
        ENGINE("{\"pause_ms\":0,\"refuse_ms\":0,\"wrong_resume\":\"none\",\"slow_factor\":1}"),
        SERVICE("{\"pause_ms\":0,\"refuse_ms\":0,\"lose_answers\":0}");

        private final String noFault;

        Kind(String noFault) {
            this.noFault = noFault;
        }

        /** Returns the control object that ends every fault. */
        String noFault() {
            return noFault;
        }

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private final Processes processes;
    private final Kind kind;
    private final String id;
    private final String domain;
    private final String group;
    private final ImmutableList<String> flags;
    private ChildProcess process;
    private InetSocketAddress address;

    private BackEndProcess(
            Processes processes,
            Kind kind,
            String id,
            String domain,
            String group,
            ImmutableList<String> flags) {
        this.processes = checkNotNull(processes, "processes");
        this.kind = checkNotNull(kind, "kind");
        this.id = checkNotNull(id, "id");
        this.domain = checkNotNull(domain, "domain");
        this.group = checkNotNull(group, "group");
        this.flags = checkNotNull(flags, "flags");
        process = launch(ANY_PORT);
    }

    /** Starts a back end on a port of the system's choice; it is not ready yet. */
    static BackEndProcess start(
            Processes processes,
            Kind kind,
            String id,
            String domain,
            String group,
            String... flags) {
        ImmutableList<String> all = ImmutableList.copyOf(flags);
        return new BackEndProcess(processes, kind, id, domain, group, all);
    }

    /** Starts an engine that checks fencing numbers and has version 1 of the report model. */
    static BackEndProcess startReportEngine(
            Processes processes, String id, String domain, String... flags) {
        String[] all =
                ImmutableList.<String>builder()
                        .add("--models", "report:1")
                        .add(flags)
                        .build()
                        .toArray(String[]::new);
        return start(processes, Kind.ENGINE, id, domain, DeploymentText.ENGINES, all);
    }

    /** Returns the address of the process itself, once it serves. */
    InetSocketAddress address() {
        if (address == null) {
            address = process.awaitAddress();
        }
        return address;
    }

    Kind kind() {
        return kind;
    }

    String id() {
        return id;
    }

    String domain() {
        return domain;
    }

    String group() {
        return group;
    }

    ChildProcess process() {
        return process;
    }

    /** Starts the process again if it has ended; returns whether it had. */
    boolean restartIfDead() {
        if (process.alive()) {
            return false;
        }
        process = launch(IpAddress.text(address));
        process.awaitAddress();
        return true;
    }

    @Override
    public String toString() {
        return id;
    }

    private ChildProcess launch(String listen) {
        ImmutableList<String> arguments =
                ImmutableList.<String>builder()
                        .add(kind.word(), "--listen", listen, "--id", id)
                        .addAll(flags)
                        .build();
        return processes.standIn(id, HEAP_MB, arguments);
    }
}

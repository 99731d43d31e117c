package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceSpec;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.permits.SharedLimits;

/**
 * Finds out whether a server ended or only a connection to it; owned by the traffic thread.
 *
 * <p>A reset, a spoilt answer or a lost packet breaks a connection as the end of its server does. A
 * server that lives answers the call made here at once. One call serves all who ask about a life
 * meanwhile.
 */
final class ServerProbe {
    /** Time for the answer, in ms: a way there and back and a busy server's turn. */
    private static final long ANSWER_MS = 300;

    /** Calls made where a connection kept from before may have been broken with the others. */
    private static final int MOST_CALLS = 2;

    private final HttpCaller calls;
    private final PlatformProtocol dialect;
    private final SharedLimits limits;
    private final AnswerMetadataRecorder notices;
    private final Map<ServerIncarnation, List<Consumer<Fate>>> asking = new HashMap<>();

    /** What became of a server. */
    enum Fate {
        ENDED,
        LIVES,
        /** It takes no connection. */
        UNREACHED,
        /** There is no telling. */
        UNKNOWN
    }

    ServerProbe(
            HttpCaller calls,
            PlatformProtocol dialect,
            SharedLimits limits,
            AnswerMetadataRecorder notices) {
        this.calls = checkNotNull(calls, "calls");
        this.dialect = checkNotNull(dialect, "dialect");
        this.limits = checkNotNull(limits, "limits");
        this.notices = checkNotNull(notices, "notices");
    }

    /** Tells {@code then}, once, what became of {@code server}. */
    void ask(BackendServer server, Optional<Catalog> catalog, Consumer<Fate> then) {
        List<Consumer<Fate>> others = asking.get(server.incarnation());
        if (others != null) {
            others.add(then);
            return;
        }
        Optional<ServiceSpec> spec = catalog.flatMap(c -> c.service(server.service()));
        Optional<HttpCall> call = spec.flatMap(s -> callTo(server, s));
        if (call.isEmpty() || notices.isPausing(server.incarnation())) {
            then.accept(Fate.UNKNOWN);
            return;
        }
        List<Consumer<Fate>> asked = new ArrayList<>(List.of(then));
        asking.put(server.incarnation(), asked);
        call(server, call.get(), spec.get().engine().isPresent(), 1);
    }

    private void call(BackendServer server, HttpCall call, boolean reports, int number) {
        limits.recordProbe(server.incarnation());
        CompletableFuture<HttpOutcome> answer = calls.call(call, ANSWER_MS);
        answer.thenAccept(
                outcome -> {
                    notices.called(server.incarnation(), outcome);
                    if (outcome instanceof HttpOutcome.MayHaveBeenSent && number < MOST_CALLS) {
                        call(server, call, reports, number + 1);
                    } else {
                        Fate fate = fate(server, reports, outcome);
                        asking.remove(server.incarnation()).forEach(then -> then.accept(fate));
                    }
                });
    }

    private Optional<HttpCall> callTo(BackendServer server, ServiceSpec spec) {
        if (spec.engine().isPresent()) {
            return Optional.of(dialect.engineProbeCall(server));
        }
        return spec.healthPath().isEmpty()
                ? Optional.empty()
                : Optional.of(dialect.healthProbeCall(server, spec.healthPath()));
    }

    private Fate fate(BackendServer server, boolean reports, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            boolean otherServer = dialect.isWrongServerStatus(answered.answer().status());
            boolean otherLife =
                    reports
                            && AliveCheck.report(dialect, outcome)
                                    .filter(r -> !r.isFrom(server.incarnation()))
                                    .isPresent();
            return otherServer || otherLife ? Fate.ENDED : Fate.LIVES;
        }
        boolean notReached = outcome instanceof HttpOutcome.NeverSent && !outcome.isWithheld();
        return notReached ? Fate.UNREACHED : Fate.UNKNOWN;
    }
}

package org.masticweir.standins.service;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.standins.http.CountsReport;
import org.masticweir.time.Clock;

/** The calls a plain service runs and has run, and the faults it plays; thread-safe. */
final class Service {
    /** One call that ran. */
    record Call(String request, String input, long atMs) {}

    /** All calls that ran, as the control interface shows them. */
    record Records(ImmutableList<Call> calls) {}

    private final ServiceSettings settings;
    private final Clock clock;
    private final List<Call> calls = new ArrayList<>();
    private int running;
    private int answersToLose;
    private long refuseEndMs;

    private Service(ServiceSettings settings, Clock clock) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        this.refuseEndMs = clock.nowMs();
    }

    static Service idle(ServiceSettings settings, Clock clock) {
        return new Service(settings, clock);
    }

    synchronized void refuseForMs(long ms) {
        refuseEndMs = clock.nowMs() + ms;
    }

    synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    synchronized boolean refusing() {
        return clock.nowMs() < refuseEndMs;
    }

    /** Records and starts a call, unless too many run. */
    synchronized boolean begin(String request, String input) {
        if (running >= settings.maxConcurrent()) {
            return false;
        }
        running++;
        calls.add(new Call(request, input, clock.nowMs()));
        return true;
    }

    /** Ends a call and returns whether its caller gets the answer. */
    synchronized boolean end() {
        running--;
        if (answersToLose == 0) {
            return true;
        }
        answersToLose--;
        return false;
    }

    synchronized CountsReport load() {
        return new CountsReport(running, 0, settings.maxConcurrent());
    }

    synchronized Records records() {
        return new Records(ImmutableList.copyOf(calls));
    }
}

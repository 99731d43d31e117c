package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.GenerationId;
import org.masticweir.time.Clock;

/**
 * The model engine behind the HTTP interface: sequences, batch, cache and records.
 *
 * <p>Thread-safe: one lock guards all of it, and no call blocks for longer than that.
 */
final class Engine {
    private static final Logger LOG = LogManager.getLogger(Engine.class);
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 500;

    /** Exit code of a process that a request has ended. */
    private static final int ENDED_UNDER_A_REQUEST = 139;

    private static final int MAX_FRAME_TOKENS = 256;

    /** What a reader has not seen yet, and whether the sequence ends with it. */
    record Slice(ImmutableList<Integer> tokens, boolean last) {}

    /** Where a known generation stands. */
    record Status(int next, String state) {}

    private final EngineSettings settings;
    private final Clock clock;
    private final Faults faults;
    private final Orders orders;
    private final Runnable onWork;
    private final CacheEvents events;
    private final EngineRecords records = new EngineRecords();
    private final LoadHistory history;
    private final Batch batch;
    private final Map<GenerationId, Sequence> known = new LinkedHashMap<>();
    private long arrivals;

    private Engine(
            EngineSettings settings, Clock clock, Faults faults, Orders orders, Runnable onWork) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        this.faults = checkNotNull(faults, "faults");
        this.orders = checkNotNull(orders, "orders");
        this.onWork = checkNotNull(onWork, "onWork");
        this.events = CacheEvents.of(settings);
        this.history = LoadHistory.lagging(settings.loadLagMs());
        this.batch = Batch.of(settings, PrefixCache.of(settings.cacheTokens(), events), records);
    }

    /** Returns an idle engine that calls {@code onWork} after it has admitted a sequence. */
    static Engine idle(
            EngineSettings settings, Clock clock, Faults faults, Orders orders, Runnable onWork) {
        return new Engine(settings, clock, faults, orders, onWork);
    }

    /** Admits a new run, which ends an older one of the same generation, or refuses it. */
    synchronized Admission submit(GenerationRequest request) {
        Admission admission = decide(request);
        if (admission.refusal().isPresent()) {
            records.refused(request);
        }
        return admission;
    }

    private Admission decide(GenerationRequest request) {
        if (faults.refusingForMs() > 0) {
            return Admission.refused(UNAVAILABLE, "OVERLOADED", RETRY_AFTER_MS);
        }
        if (!orders.serves(request.wanted())) {
            return Admission.refused(NOT_FOUND, "UNKNOWN_MODEL", 0);
        }
        Optional<Sequence> older = Optional.ofNullable(known.get(request.id()));
        if (older.isPresent() && older.get().attempt() >= request.attempt()) {
            return Admission.refused(CONFLICT, "SUPERSEDED", 0);
        }
        if (!batch.hasRoom()) {
            return Admission.refused(TOO_MANY_REQUESTS, "OVERLOADED", RETRY_AFTER_MS);
        }
        older.ifPresent(this::stop);
        return Admission.admitted(admit(request));
    }

    private Sequence admit(GenerationRequest request) {
        long now = clock.nowMs();
        Sequence sequence =
                Sequence.admitted(
                        request,
                        records.open(request, now),
                        arrivals++,
                        now,
                        settings.stampTokens());
        known.put(request.id(), sequence);
        if (!sequence.done()) {
            batch.add(sequence);
        }
        recordLoad(now);
        onWork.run();
        return sequence;
    }

    /**
     * Finds a generation to read again from {@code from} on under {@code attempt}, which outranks
     * lower ones.
     */
    synchronized Admission reread(GenerationId id, int from, int attempt) {
        Sequence sequence = known.get(id);
        if (sequence == null) {
            return Admission.refused(NOT_FOUND, "NOT_FOUND", 0);
        }
        if (attempt < sequence.attempt()) {
            return Admission.refused(CONFLICT, "SUPERSEDED", 0);
        }
        if (from > sequence.request().maxTokens()) {
            return Admission.refused(BAD_REQUEST, "BAD_REQUEST", 0);
        }
        sequence.raiseAttempt(attempt);
        return Admission.admitted(sequence);
    }

    /** Makes {@code reader} the only one of {@code sequence}, unless a later attempt has come. */
    synchronized void attach(Sequence sequence, StreamReader reader, int attempt) {
        if (sequence.stopped() || attempt < sequence.attempt()) {
            reader.drop();
            return;
        }
        sequence.reader().ifPresent(StreamReader::drop);
        sequence.attach(reader);
        reader.wake();
    }

    /** Notes that {@code reader} has left; its sequence goes on for the keep time. */
    synchronized void detach(Sequence sequence, StreamReader reader) {
        if (sequence.reader().filter(reader::equals).isPresent()) {
            sequence.detach(clock.nowMs());
        }
    }

    /** Returns the tokens of {@code sequence} from {@code from} on, as far as computed. */
    synchronized Slice read(Sequence sequence, int from) {
        int end = Math.min(sequence.next(), from + MAX_FRAME_TOKENS);
        ImmutableList.Builder<Integer> tokens = ImmutableList.builder();
        for (int i = from; i < end; i++) {
            tokens.add(sequence.token(i));
        }
        return new Slice(tokens.build(), sequence.done() && end >= sequence.next());
    }

    synchronized Optional<Status> status(GenerationId id) {
        return Optional.ofNullable(known.get(id))
                .map(sequence -> new Status(sequence.next(), state(sequence)));
    }

    private static String state(Sequence sequence) {
        return sequence.done() ? "done" : "running";
    }

    /** Stops and forgets a generation; false when unknown or run by a later attempt. */
    synchronized boolean cancel(GenerationId id, int attempt) {
        Sequence sequence = known.get(id);
        if (sequence == null || attempt < sequence.attempt()) {
            return false;
        }
        stop(sequence);
        return true;
    }

    private void stop(Sequence sequence) {
        if (!sequence.done()) {
            sequence.run().cancelled();
        }
        forget(sequence);
        sequence.reader().ifPresent(StreamReader::drop);
    }

    private void forget(Sequence sequence) {
        sequence.stop();
        batch.remove(sequence);
        known.remove(sequence.request().id());
        recordLoad(clock.nowMs());
    }

    /** Plays the faults that {@code control} asks for; no step ends once a pause has begun. */
    synchronized void apply(ControlRequest control) {
        faults.apply(control);
        // A silence that ends early must not hold back what is computed.
        wakeReaders();
        if (control.dropStreams()) {
            dropStreams();
        }
    }

    /** Closes all streams without an end frame; their sequences go on for the keep time. */
    private void dropStreams() {
        long now = clock.nowMs();
        for (Sequence sequence : known.values()) {
            sequence.reader().ifPresent(reader -> cut(sequence, reader, now));
        }
    }

    private static void cut(Sequence sequence, StreamReader reader, long now) {
        reader.drop();
        sequence.detach(now);
    }

    /** Starts a step and returns what it will compute, or nothing when there is no work. */
    synchronized Optional<Batch.Step> beginStep() {
        long now = clock.nowMs();
        expire(now);
        Optional<Batch.Step> step = batch.begin();
        recordLoad(now);
        return step;
    }

    /** Makes the tokens of a step readable, once its time has passed; false during a pause. */
    synchronized boolean finishStep(Batch.Step step) {
        if (faults.pause().active()) {
            return false;
        }
        if (step.decodes().stream().anyMatch(s -> faults.endsOn(s.request().prompt()))) {
            LOG.error("engine: ends under a request");
            Runtime.getRuntime().halt(ENDED_UNDER_A_REQUEST);
        }
        long now = clock.nowMs();
        batch.finish(step, now);
        recordLoad(now);
        step.decodes().forEach(sequence -> sequence.reader().ifPresent(StreamReader::wake));
        return true;
    }

    /** Has all readers look again, since they write nothing during a pause. */
    synchronized void wakeReaders() {
        known.values().forEach(sequence -> sequence.reader().ifPresent(StreamReader::wake));
    }

    private void expire(long now) {
        ImmutableList<Sequence> abandoned =
                known.values().stream()
                        .filter(sequence -> sequence.abandoned(now, settings.keepMs()))
                        .collect(ImmutableList.toImmutableList());
        for (Sequence sequence : abandoned) {
            LOG.debug("engine: forgot {} at token {}", sequence.request().id(), sequence.next());
            forget(sequence);
        }
    }

    private void recordLoad(long now) {
        history.record(batch.load(), now);
    }

    /** Returns the load as the engine reports it, which is some time old. */
    synchronized Load reportedLoad() {
        return history.reported(clock.nowMs());
    }

    synchronized CacheEvents.Page cacheEvents(long since) {
        return events.since(since, clock.nowMs());
    }

    /** Counts a read of the load report, for checkers. */
    synchronized void stateRead() {
        records.stateRead();
    }

    synchronized EngineRecords.Snapshot records() {
        return records.snapshot(orders.recorded());
    }
}

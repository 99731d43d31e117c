package org.masticweir.standins.platform;

import com.google.common.primitives.Ints;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.standins.platform.http.Answer;
import org.masticweir.standins.platform.http.AnswerServer;
import org.masticweir.standins.platform.http.Call;
import org.masticweir.time.Clock;

/**
 * Answers the platform's calls.
 *
 * <p>Reads and writes are those of the table service and the object store, which share their
 * limits. The class is thread-safe and never blocks.
 */
final class PlatformService implements AnswerServer.Service {
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_TOO_MANY = 429;
    private static final int DEFAULT_SCAN_ROWS = 1000;
    private static final int MAX_SCAN_ROWS = 10_000;
    private static final PlatformMessages.Done DONE = new PlatformMessages.Done();

    private final Clock clock;
    private final Faults faults;
    private final TableStore tables = new TableStore();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final InstanceList instances;
    private final WeightStore weights;
    private final RateLimit readLimit;
    private final RateLimit writeLimit;
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong conflicts = new AtomicLong();
    private final AtomicLong lostAnswers = new AtomicLong();

    PlatformService(PlatformSettings settings, Clock clock, Faults faults) {
        this.clock = clock;
        this.faults = faults;
        instances = InstanceList.withLagMs(settings.listLagMs());
        weights = new WeightStore(clock, settings.weightLoadsPerS(), settings.loadMs());
        readLimit = RateLimit.perS(settings.readLimitPerS(), clock.nowMs());
        writeLimit = RateLimit.perS(settings.writeLimitPerS(), clock.nowMs());
    }

    @Override
    public Answer answer(Call call) {
        if (call.is("POST", "/tables/txn")) {
            return limited(writeLimit, writes).orElseGet(() -> commit(call));
        }
        if (call.is("GET", "/instances")) {
            return Answer.ok(new PlatformMessages.Instances(instances.at(clock.nowMs())));
        }
        if (call.is("POST", "/weights/fetch")) {
            return fetch(call);
        }
        if (call.is("POST", Faults.CONTROL_PATH)) {
            return control(call.message(PlatformMessages.Control.class));
        }
        if (call.is("GET", Faults.CONTROL_PATH + "/records")) {
            return Answer.ok(records());
        }
        return answerByKey(call)
                .orElseGet(() -> Answer.error(ErrorCode.NOT_FOUND, "no such call: " + call));
    }

    private Optional<Answer> answerByKey(Call call) {
        return call.after("GET", "/tables/")
                .map(path -> limited(readLimit, reads).orElseGet(() -> read(call, path)))
                .or(() -> call.after("GET", "/objects/").map(this::readObject))
                .or(() -> call.after("PUT", "/objects/").map(key -> writeObject(call, key)))
                .or(() -> call.after("PUT", "/instances/").map(id -> announce(call, id)))
                .or(() -> call.after("DELETE", "/instances/").map(this::takeOff));
    }

    private Answer commit(Call call) {
        Transaction transaction = call.message(Transaction.class);
        Transaction.Result result = tables.commit(transaction);
        if (!result.applied()) {
            conflicts.incrementAndGet();
            return Answer.json(STATUS_CONFLICT, PlatformMessages.Conflicts.of(result.conflicts()));
        }
        if (faults.takeLostAnswer(transaction)) {
            lostAnswers.incrementAndGet();
            return Answer.lost();
        }
        return Answer.ok(new PlatformMessages.Revision(result.revision()));
    }

    private Answer read(Call call, String path) {
        int slash = path.indexOf('/');
        if (slash < 0) {
            return scan(call, Call.decoded(path));
        }
        String table = Call.decoded(path.substring(0, slash));
        String key = Call.decoded(path.substring(slash + 1));
        return tables.get(table, key)
                .map(row -> Answer.ok(new PlatformMessages.Value(row.value(), row.revision())))
                .orElseGet(() -> Answer.error(ErrorCode.NOT_FOUND, "no row " + key));
    }

    private Answer scan(Call call, String table) {
        int limit = call.query("limit").map(PlatformService::scanLimit).orElse(DEFAULT_SCAN_ROWS);
        return Answer.ok(new PlatformMessages.Rows(tables.scan(table, call.query("after"), limit)));
    }

    private static int scanLimit(String text) {
        Integer limit = Ints.tryParse(text);
        if (limit == null || limit < 1) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, "limit is " + text);
        }
        return Math.min(limit, MAX_SCAN_ROWS);
    }

    private Answer readObject(String key) {
        return limited(readLimit, reads)
                .or(() -> Optional.ofNullable(objects.get(Call.decoded(key))).map(Answer::bytes))
                .orElseGet(() -> Answer.error(ErrorCode.NOT_FOUND, "no object " + key));
    }

    private Answer writeObject(Call call, String key) {
        Optional<Answer> refusal = limited(writeLimit, writes);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        objects.put(Call.decoded(key), call.body());
        return Answer.ok(DONE);
    }

    private Answer announce(Call call, String id) {
        Instance instance = call.message(Instance.class);
        if (!instance.id().equals(Call.decoded(id))) {
            return Answer.error(ErrorCode.BAD_REQUEST, "id differs from the path's");
        }
        instances.put(instance, clock.nowMs());
        return Answer.ok(DONE);
    }

    private Answer takeOff(String id) {
        instances.remove(Call.decoded(id), clock.nowMs());
        return Answer.ok(DONE);
    }

    private Answer fetch(Call call) {
        long retryAfterMs = weights.fetch(call.message(WeightStore.FetchBody.class));
        return retryAfterMs > 0
                ? tooMany(retryAfterMs)
                : Answer.ok(DONE).lateByMs(weights.loadMs());
    }

    private Answer control(PlatformMessages.Control control) {
        try {
            Optional.ofNullable(control.listLagMs()).ifPresent(instances::setLagMs);
            Optional.ofNullable(control.loadMs()).ifPresent(weights::setLoadMs);
            Optional<String> table = Optional.ofNullable(control.loseAnswersTable());
            Optional.ofNullable(control.loseAnswers())
                    .ifPresent(count -> faults.setAnswersToLose(count, table));
            Optional.ofNullable(control.slowMs()).ifPresent(faults::setSlowMs);
            Optional.ofNullable(control.outageMs()).ifPresent(faults::setOutageMs);
        } catch (IllegalArgumentException e) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
        }
        return Answer.ok(DONE);
    }

    private PlatformMessages.Records records() {
        return new PlatformMessages.Records(
                reads.get(),
                writes.get(),
                conflicts.get(),
                lostAnswers.get(),
                tables.rowCount(),
                weights.fetches());
    }

    /** Counts a call, or returns the refusal when it is over its limit. */
    private Optional<Answer> limited(RateLimit limit, AtomicLong count) {
        long retryAfterMs = limit.take(clock.nowMs());
        if (retryAfterMs > 0) {
            return Optional.of(tooMany(retryAfterMs));
        }
        count.incrementAndGet();
        return Optional.empty();
    }

    private static Answer tooMany(long retryAfterMs) {
        return Answer.json(STATUS_TOO_MANY, new PlatformMessages.RetryAfter(retryAfterMs));
    }
}

package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.common.escape.Escaper;
import com.google.common.net.UrlEscapers;
import java.net.URLDecoder;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TableService;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.Clock;

/**
 * Saves crash records in the platform's durable store; owned by the control thread.
 *
 * <p>Without this, the loss of all routers at once would lose all recorded losses. A record with
 * one server is not saved: most contents with one loss run successfully soon, and without the
 * record at most two more servers end.
 */
public final class QuarantineStore {
    private static final Logger LOG = LogManager.getLogger(QuarantineStore.class);

    private static final String TABLE = "quarantine";

    /** Minimum number of servers in a record that is saved. */
    private static final int MIN_SERVERS = 2;

    /** Timeout of one call, in ms. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Pause before a failed call is retried, in ms. */
    private static final long RETRY_MS = 500;

    /**
     * Maximum number of records to be written; the newest record of a content replaces its older
     * records.
     */
    private static final int MAX_PENDING = 4_096;

    private static final int PAGE_ROWS = 500;
    private static final char PART_SEPARATOR = ' ';
    private static final char FIELD_SEPARATOR = ',';
    private static final Splitter PART_SPLITTER = Splitter.on(PART_SEPARATOR);
    private static final Splitter FIELD_SPLITTER = Splitter.on(FIELD_SEPARATOR);
    private static final int LOSS_FIELDS = 4;

    /** Escapes both separators in ids of servers; leaves tokens as they are. */
    private static final Escaper ID_ESCAPER = UrlEscapers.urlFormParameterEscaper();

    /** Follows the time in the row of a part; the row of a whole content has no mark. */
    private static final String PART_MARK = "part";

    private final TableService store;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long retentionMs;
    private final Map<ContentId, CrashRecord> pending = new LinkedHashMap<>();
    private boolean isWriting;
    private boolean isLoaded;

    public QuarantineStore(
            TableService store, ScheduledExecutorService control, Clock clock, long retentionMs) {
        this.store = checkNotNull(store, "store");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.retentionMs = retentionMs;
    }

    /** Reads all stored records, with times converted to this router's clock. */
    public void load(Consumer<CrashRecord> recordConsumer) {
        loadPageAfter("", recordConsumer);
    }

    private void loadPageAfter(String key, Consumer<CrashRecord> recordConsumer) {
        store.list(TABLE, key, PAGE_ROWS, CALL_TIMEOUT_MS)
                .thenAccept(outcome -> onControl(() -> onPageRead(key, outcome, recordConsumer)));
    }

    private void onPageRead(
            String key, ReadOutcome<List<Row>> outcome, Consumer<CrashRecord> recordConsumer) {
        if (!(outcome instanceof ReadOutcome.Done<List<Row>> done)) {
            retryLater(() -> loadPageAfter(key, recordConsumer), "read");
            return;
        }
        List<Row> rows = done.value();
        rows.forEach(r -> handleRow(r, recordConsumer));
        if (rows.size() < PAGE_ROWS) {
            isLoaded = true;
        } else {
            loadPageAfter(Iterables.getLast(rows).key().key(), recordConsumer);
        }
    }

    /** Returns whether all records have been read. */
    public boolean isLoaded() {
        return isLoaded;
    }

    /**
     * Saves a record, or deletes its row if no loss of the content counts any more; may be called
     * on any thread.
     */
    public void save(CrashRecord record) {
        onControl(
                () -> {
                    // A record that never had two servers was not saved, so it has no row.
                    boolean hasEnoughServers = record.losses().size() >= MIN_SERVERS;
                    if (hasEnoughServers && pending.size() < MAX_PENDING) {
                        pending.put(record.content(), record);
                        write();
                    }
                });
    }

    private void write() {
        if (isWriting || pending.isEmpty()) {
            return;
        }
        isWriting = true;
        CrashRecord record = pending.values().iterator().next();
        store.transact(transaction(record), CALL_TIMEOUT_MS)
                .thenAccept(outcome -> onControl(() -> onWritten(record, outcome)));
    }

    private void onWritten(CrashRecord record, TransactionOutcome outcome) {
        isWriting = false;
        if (outcome instanceof TransactionOutcome.Committed) {
            pending.remove(record.content(), record);
            write();
        } else {
            retryLater(this::write, "write");
        }
    }

    private Transaction transaction(CrashRecord record) {
        RowKey key = RowKey.of(TABLE, record.content().value());
        return record.countedLosses().isEmpty()
                ? Transaction.builder().delete(key).build()
                : Transaction.builder().put(key, encode(record)).build();
    }

    /** Returns a record as text, with the time of writing and all other times relative to it. */
    private String encode(CrashRecord record) {
        StringBuilder text = new StringBuilder(Long.toString(clock.wallMs()));
        if (record.isPart()) {
            text.append(PART_SEPARATOR).append(PART_MARK);
        }
        for (Loss loss : record.shifted(-clock.nowMs()).countedLosses()) {
            ServerIncarnation incarnation = loss.life();
            text.append(PART_SEPARATOR);
            Joiner.on(FIELD_SEPARATOR)
                    .appendTo(
                            text,
                            ID_ESCAPER.escape(incarnation.id().value()),
                            incarnation.startedMs(),
                            loss.sentMs(),
                            loss.endedMs());
        }
        return text.toString();
    }

    private void handleRow(Row row, Consumer<CrashRecord> recordConsumer) {
        try {
            List<String> parts = PART_SPLITTER.splitToList(row.value());
            checkArgument(parts.size() >= 2, "no time or no server");
            long ageMs = Math.max(0, clock.wallMs() - Long.parseLong(parts.get(0)));
            if (ageMs >= retentionMs) {
                remove(row.key());
                return;
            }
            boolean isPart = parts.get(1).equals(PART_MARK);
            ImmutableList<Loss> losses =
                    parts.subList(isPart ? 2 : 1, parts.size()).stream()
                            .limit(CrashRecord.MAX_INCARNATIONS)
                            .map(QuarantineStore::decodeLoss)
                            .collect(ImmutableList.toImmutableList());
            CrashRecord record =
                    new CrashRecord(
                            ContentId.of(row.key().key()),
                            isPart,
                            OptionalLong.empty(),
                            losses,
                            ImmutableSet.of());
            recordConsumer.accept(record.shifted(clock.nowMs() - ageMs));
        } catch (IllegalArgumentException e) {
            LOG.warn("quarantine: row {} is not understood, {}", row.key(), e.getMessage());
        }
    }

    /** Deletes an expired row. If this call fails, the next router that starts deletes the row. */
    private void remove(RowKey key) {
        store.transact(Transaction.builder().delete(key).build(), CALL_TIMEOUT_MS)
                .thenAccept(
                        outcome ->
                                LOG.info("quarantine: row {} expired, deletion: {}", key, outcome));
    }

    private static Loss decodeLoss(String text) {
        List<String> fields = FIELD_SPLITTER.splitToList(text);
        checkArgument(fields.size() == LOSS_FIELDS, "%s is not a loss", text);
        String id = URLDecoder.decode(fields.get(0), UTF_8);
        ServerIncarnation incarnation =
                ServerIncarnation.of(EngineId.of(id), Long.parseLong(fields.get(1)));
        return new Loss(incarnation, Long.parseLong(fields.get(2)), Long.parseLong(fields.get(3)));
    }

    private void retryLater(Runnable step, String operation) {
        LOG.info("quarantine: the store could not be reached to {}, retrying", operation);
        ControlThread.executeAfter(control, step, RETRY_MS, "quarantine");
    }

    private void onControl(Runnable step) {
        ControlThread.execute(control, step, "quarantine");
    }
}

package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.masticweir.claims.ClaimAction;
import org.masticweir.claims.ClaimEvent;
import org.masticweir.claims.ClaimPolicy;
import org.masticweir.claims.ClaimRow;
import org.masticweir.claims.ClaimStateMachine;
import org.masticweir.claims.ClaimWrite;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;

/** Replays the submissions of one letter at several routers through their claims. */
final class ClaimReplay extends Replay {
    private static final RowKey KEY = ClaimRow.keyOf(TeamId.of("letters"), RequestId.of("r"));
    private static final long DEADLINE_MS = 60_000;

    private final boolean sendFirst;
    private final MemoryTable table = new MemoryTable();
    private final Map<String, Submission> submissions = new TreeMap<>();
    private final Deque<Transaction> late = new ArrayDeque<>();
    private int runs;

    /** Under {@code sendFirst} the plain policy is replayed: send, then claim. */
    ClaimReplay(boolean sendFirst) {
        this.sendFirst = sendFirst;
    }

    /** One router's claim and what its caller was told. */
    private static final class Submission {
        private final ClaimStateMachine claim;
        private ClaimWrite write;
        private String told = "NONE";
        private boolean sent;

        Submission(ClaimStateMachine claim) {
            this.claim = claim;
        }
    }

    @Override
    void apply(Trace.Event event) {
        String router = event.text("router");
        switch (event.kind()) {
            case "submitted" -> submit(router);
            case "table" -> answer(submissions.get(router), event.text("fate"));
            case "late_write_lands" -> table.apply(late.remove());
            default -> throw unknown(event);
        }
    }

    private void submit(String router) {
        ClaimRow row = ClaimRow.claimed("nonce-" + router, RouterId.of(router), nowMs());
        Submission s =
                new Submission(
                        ClaimStateMachine.of(
                                KEY, row, ClaimPolicy.defaults(), nowMs(), nowMs() + DEADLINE_MS));
        submissions.put(router, s);
        if (sendFirst && !table.row(KEY).isPresent()) {
            send(s);
        }
        carryOut(s, s.claim.start(nowMs()));
    }

    private void send(Submission s) {
        runs++;
        s.sent = true;
    }

    private void answer(Submission s, String fate) {
        ClaimWrite w = s.write;
        Transaction t = Transaction.compareAndSet(w.key(), w.expectedRevision(), w.row().encode());
        switch (fate) {
            case "answered" -> tell(s, eventOf(w.ticket(), table.apply(t)));
            case "answer_lost" -> {
                table.apply(t);
                tell(s, new ClaimEvent.Unknown(w.ticket()));
            }
            case "late" -> {
                late.add(t);
                tell(s, new ClaimEvent.Unknown(w.ticket()));
            }
            default -> tell(s, new ClaimEvent.NotDone(w.ticket(), OptionalLong.empty()));
        }
    }

    private static ClaimEvent eventOf(int ticket, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            return new ClaimEvent.Committed(ticket, committed.revision());
        }
        TransactionOutcome.Conflicted conflict = (TransactionOutcome.Conflicted) outcome;
        return new ClaimEvent.Conflicted(ticket, conflict.rows().get(0));
    }

    private void tell(Submission s, ClaimEvent event) {
        carryOut(s, s.claim.onEvent(event, nowMs()));
    }

    private void carryOut(Submission s, List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Write write) {
                s.write = write.write();
            } else if (action instanceof ClaimAction.Grant) {
                run(s);
            } else if (action instanceof ClaimAction.ReportAlreadyClaimed join) {
                s.told = join.row().verdict().name();
            } else if (action instanceof ClaimAction.Refuse refuse) {
                s.told = refuse.error().verdict().name();
            }
        }
    }

    private void run(Submission s) {
        if (!s.sent) {
            send(s);
        }
        s.told = Verdict.COMPLETED.name();
        tell(s, new ClaimEvent.Ended(Verdict.COMPLETED, ""));
    }

    @Override
    JsonNode outcome() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode told = root.putObject("told");
        submissions.forEach((router, s) -> told.put(router, s.told));
        return root.put("runs", runs);
    }
}

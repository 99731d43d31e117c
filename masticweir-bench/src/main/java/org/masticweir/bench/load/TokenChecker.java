package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.report.TokenCheck;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.standins.engine.TokenSource;

/** Compares callers' tokens with those that the engines' seeds give; immutable. */
final class TokenChecker {
    private final EngineLedger ledger;

    private TokenChecker(EngineLedger ledger) {
        this.ledger = checkNotNull(ledger, "ledger");
    }

    static TokenChecker against(EngineLedger ledger) {
        return new TokenChecker(ledger);
    }

    TokenCheck check(List<ObservedCall> calls) {
        return calls.stream().map(this::check).reduce(TokenCheck.none(), TokenCheck::plus);
    }

    private TokenCheck check(ObservedCall call) {
        CallRecord record = call.record();
        if (!call.hasTokens() && !call.completed()) {
            return TokenCheck.none();
        }
        int wanted = call.planned().request().maxTokens();
        OptionalLong seed = ledger.seed(call.requestId(), record.generation());
        if (seed.isEmpty()) {
            int missing = call.completed() ? Math.max(0, wanted - record.tokens().length()) : 0;
            int extra = Math.max(0, record.tokens().length() - wanted);
            return new TokenCheck(0, 1, missing, Math.max(extra, record.disorders()), 0);
        }
        return align(record.tokens(), seed.getAsLong(), wanted, call.completed());
    }

    /**
     * Walks an answer beside the tokens of its seed.
     *
     * @param whole whether the answer claims to be whole, so that its missing end counts as lost
     */
    static TokenCheck align(ImmutableIntArray tokens, long seed, int wanted, boolean whole) {
        Map<Integer, Integer> indexes = new HashMap<>();
        for (int i = 0; i < wanted; i++) {
            indexes.put(TokenSource.token(seed, i), i);
        }
        int next = 0;
        int lost = 0;
        int repeated = 0;
        int mixed = 0;
        for (int i = 0; i < tokens.length(); i++) {
            int at = indexes.getOrDefault(tokens.get(i), -1);
            if (at < 0) {
                mixed++;
            } else if (at < next) {
                repeated++;
            } else {
                lost += at - next;
                next = at + 1;
            }
        }
        int missingEnd = whole ? wanted - next : 0;
        return new TokenCheck(1, 0, lost + missingEnd, repeated, mixed);
    }
}

package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMultiset;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/** What all engines computed during one load; immutable. */
public final class EngineLedger {
    private static final EngineLedger EMPTY =
            new EngineLedger(ImmutableList.of(), ImmutableList.of(), 0);

    private final ImmutableListMultimap<String, EngineRun> runs;
    private final ImmutableMultiset<String> refusals;
    private final long prefillTokens;

    private EngineLedger(List<EngineRun> runs, List<String> refusals, long prefillTokens) {
        this.refusals = ImmutableMultiset.copyOf(refusals);
        this.runs =
                runs.stream()
                        .sorted(Comparator.comparingInt(EngineRun::attempt))
                        .collect(
                                ImmutableListMultimap.toImmutableListMultimap(
                                        EngineRun::request, r -> checkNotNull(r, "run")));
        this.prefillTokens = prefillTokens;
    }

    public static EngineLedger of(List<EngineRun> runs, long prefillTokens) {
        return of(runs, ImmutableList.of(), prefillTokens);
    }

    /** Returns the ledger of a load in which engines refused runs of {@code refusals}. */
    public static EngineLedger of(List<EngineRun> runs, List<String> refusals, long prefillTokens) {
        return new EngineLedger(runs, refusals, prefillTokens);
    }

    /** Returns the ledger of a load whose engines are not known. */
    public static EngineLedger empty() {
        return EMPTY;
    }

    /** Returns the attempts at a request, the lowest attempt number first. */
    public ImmutableList<EngineRun> runsOf(String request) {
        return runs.get(request);
    }

    /** Returns how many times engines refused to run a request. */
    public int refusalsOf(String request) {
        return refusals.count(request);
    }

    /** Returns the seed of a generation, when an engine told it. */
    public OptionalLong seed(String request, int generation) {
        return runs.get(request).stream()
                .filter(r -> r.generation() == generation)
                .mapToLong(EngineRun::seed)
                .findFirst();
    }

    /** Returns the prompt and prefix tokens computed by all engines, cached ones left out. */
    public long prefillTokens() {
        return prefillTokens;
    }
}

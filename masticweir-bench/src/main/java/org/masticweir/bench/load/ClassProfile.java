package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * How callers use one class of work.
 *
 * @param weight share of the arrivals, relative to the other classes of the mix
 * @param output length of the answer
 * @param templates how many different prompt prefixes the callers share
 * @param templateTokens length of each of them
 * @param ownPrompt length of the part of a prompt that is the caller's own
 * @param target when an answer counts as goodput
 */
record ClassProfile(
        String name,
        String model,
        boolean idempotent,
        double weight,
        LogNormalLength output,
        int templates,
        int templateTokens,
        LogNormalLength ownPrompt,
        LatencyTarget target) {
    private static final int VOCABULARY = 50_000;

    ClassProfile {
        checkNotNull(name, "name");
        checkNotNull(model, "model");
        checkNotNull(output, "output");
        checkNotNull(ownPrompt, "ownPrompt");
        checkNotNull(target, "target");
    }

    /** Returns the profile with all lengths multiplied by {@code factor}. */
    ClassProfile scaled(double factor) {
        return new ClassProfile(
                name,
                model,
                idempotent,
                weight,
                output.scaled(factor),
                templates,
                (int) Math.max(1, Math.round(templateTokens * factor)),
                ownPrompt.scaled(factor),
                target);
    }

    /**
     * Draws a prompt: one of the shared templates, then tokens of its own.
     *
     * <p>Lengths come from {@code random}, token ids from {@code content}: runs of one seed ask for
     * the same work, yet none finds its prompts in the engines' caches from the run before.
     *
     * @param contentSeed seed of the templates, one for each run
     */
    ImmutableIntArray drawPrompt(
            RandomGenerator random, RandomGenerator content, long contentSeed) {
        long templateSeed = contentSeed + name.hashCode() + random.nextInt(templates);
        Random template = new Random(templateSeed);
        int own = ownPrompt.draw(random);
        ImmutableIntArray.Builder prompt = ImmutableIntArray.builder(templateTokens + own);
        for (int i = 0; i < templateTokens; i++) {
            prompt.add(template.nextInt(VOCABULARY));
        }
        for (int i = 0; i < own; i++) {
            prompt.add(content.nextInt(VOCABULARY));
        }
        return prompt.build();
    }
}

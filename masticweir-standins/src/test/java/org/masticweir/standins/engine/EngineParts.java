package org.masticweir.standins.engine;

import com.beust.jcommander.JCommander;
import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.List;

/** Settings and requests that the engine's tests share. */
final class EngineParts {
    private EngineParts() {}

    /** Returns quick settings on a free port, changed by {@code flags}. */
    static EngineSettings settings(String... flags) {
        EngineCommand command = new EngineCommand();
        ImmutableList<String> quick =
                ImmutableList.of(
                        "--listen", "127.0.0.1:0", "--id", "e1", "--models", "report:1,planning:3");
        List<String> all = ImmutableList.<String>builder().addAll(quick).add(flags).build();
        JCommander.newBuilder().addObject(command).build().parse(all.toArray(String[]::new));
        return command.settings();
    }

    static GenerationRequest request(String id, int promptTokens, int maxTokens, int priority) {
        List<Integer> prompt = Collections.nCopies(promptTokens, 7);
        return new GenerationRequest(
                id, 1, 1, "report", "1", "", 42, prompt, null, maxTokens, priority);
    }

    /** Returns the body of an attempt with a prompt of two tokens. */
    static String body(String id, int attempt, List<Integer> prefix, int maxTokens) {
        return "{\"request\":\"%s\",\"generation\":1,\"attempt\":%d,\"model\":\"report\",\"version\":\"1\",\"adapter\":\"\",\"seed\":42,\"prompt\":[11,12],\"prefix\":%s,\"max_tokens\":%d,\"priority\":2}"
                .formatted(id, attempt, prefix, maxTokens);
    }
}

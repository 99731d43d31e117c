package org.masticweir.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs one case; exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
public final class CaseRunner {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_S = 110;

    private static final Map<String, Case> CASES =
            Map.of(
                    "spoilt-pause", new SpoiltPauseCase(),
                    "unsafe-refusal", new UnsafeRefusalCase(),
                    "half-answer", new HalfAnswerCase(),
                    "long-bodies", new LongBodiesCase(),
                    "tenant-name", new TenantNameCase());

    private CaseRunner() {}

    /** Takes the name of the case and its folder, in which the record is written. */
    public static void main(String[] args) {
        ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor();
        watchdog.schedule(() -> System.exit(NOT_RUN), LIMIT_S, TimeUnit.SECONDS);
        System.exit(run(CASES.get(args[0]), Path.of(args[1], "record.txt")));
    }

    private static int run(Case played, Path file) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(file);
                Bed bed = Bed.open()) {
            boolean isHeld = played.play(bed, record, isTroubled);
            record.add(isHeld ? "the rule held" : "the rule was BROKEN");
            System.out.println(isHeld ? "held" : "broken");
            return isHeld ? HELD : BROKEN;
        } catch (IOException | RuntimeException | Error e) {
            // Errors too: a process that ends by one exits with 1, as if the rule was broken.
            System.err.println("the case could not run: " + e);
            return NOT_RUN;
        }
    }
}

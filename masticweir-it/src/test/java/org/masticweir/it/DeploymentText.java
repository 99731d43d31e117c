package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The deployment document of the tests' small deployment. */
final class DeploymentText {
    static final String ENGINES = "report-engines";
    static final String SERVICES = "booking-services";

    /** Teams; the credential of each is its name and {@code -secret}. */
    static final ImmutableList<String> TEAMS = ImmutableList.of("north", "south", "planning");

    private static final String CLASSES_AND_MODELS =
            """
            [class.reports]
            first_token_ms = 2000
            total_ms = 600000
            reliability = tokens
            recovery = prompt
            [class.letters]
            first_token_ms = 2000
            total_ms = 60000
            reliability = placement
            recovery = thrifty
            [class.lookups]
            first_token_ms = 400
            total_ms = 10000
            reliability = best_effort
            recovery = prompt
            [class.confirmations]
            first_token_ms = 1000
            total_ms = 10000
            reliability = best_effort
            recovery = prompt
            [model.report]
            kind = engine
            version = 1
            [model.booking]
            kind = service
            version = 1
            [engines.report-engines]
            vendor = counts
            checks_fencing = true
            models = report
            [engines.booking-services]
            vendor = counts
            checks_fencing = false
            models = booking
            """;

    private DeploymentText() {}

    static String ini() {
        StringBuilder text = new StringBuilder(CLASSES_AND_MODELS);
        for (String team : TEAMS) {
            text.append("[team.").append(team).append("]\ncredential_sha256 = ");
            text.append(Hashing.sha256().hashString(team + "-secret", StandardCharsets.UTF_8));
            text.append("\nshare = 1\n");
        }
        return text.toString();
    }
}

package org.masticweir.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Gathers what the logs of routers tell of all requests, and counts them by outcome and cause; not
 * thread-safe.
 *
 * <p>It shows where requests are lost, and how long they are under way: what is under way longer
 * meets more failures.
 */
final class RequestTally implements LogLines.Taker {
    private static final String NAMED = "relay: request ([^ :]+)";

    private static final Pattern STARTED = Pattern.compile("router: .+? in (.+) has started");

    private static final Pattern GOES =
            Pattern.compile(
                    NAMED
                            + " goes to .+? in (.+?), send .*; (\\d+) running and (\\d+) reading"
                            + " there, copy at (.+?),");

    /** A server lost, refused or kept silent on a send; reports of living ones are left out. */
    private static final Pattern TROUBLE =
            Pattern.compile(
                    NAMED
                            + ": .+? in .+? (lost it|could not be reached|silent|refused with"
                            + " \\d+|no sign of life|does not have|has started again|sent no"
                            + " answer).* after \\d+ ms");

    private static final Pattern ANSWERED =
            Pattern.compile(NAMED + " answered, (.*) after (\\d+) ms and \\d+ sends");

    private static final Pattern ENDS =
            Pattern.compile(NAMED + " ends (\\S+) \\S+ after (\\d+) ms and \\d+ sends, (.*)");

    private static final Pattern LEFT =
            Pattern.compile(NAMED + " was left by its caller after (\\d+) ms");

    private final Map<String, RequestFlight> flights = new HashMap<>();
    private Optional<String> domain = Optional.empty();

    /** What requests must have in common to be counted together. */
    private record Group(String kind, String outcome, String cause) {
        static Group of(RequestFlight flight) {
            return new Group(
                    flight.stream() ? "stream" : "plain", flight.outcome(), flight.fullCause());
        }
    }

    @Override
    public void begin() {
        domain = Optional.empty();
    }

    @Override
    public void take(String line) {
        Matcher started = STARTED.matcher(line);
        if (started.find()) {
            domain = Optional.of(started.group(1));
            return;
        }
        Matcher goes = GOES.matcher(line);
        if (goes.find()) {
            Optional<Boolean> far = domain.map(d -> !d.equals(goes.group(2)));
            int running = Integer.parseInt(goes.group(3));
            int reading = Integer.parseInt(goes.group(4));
            // Only engines read prompts and keep copies, and only streams go to engines.
            boolean stream = reading > 0 || !goes.group(5).equals("none");
            update(goes.group(1), f -> f.sent(stream, far, running, reading));
            return;
        }
        Matcher trouble = TROUBLE.matcher(line);
        if (trouble.find()) {
            update(trouble.group(1), f -> f.troubled(trouble.group(2)));
            return;
        }
        end(line);
    }

    private void end(String line) {
        Matcher answered = ANSWERED.matcher(line);
        Matcher ends = ENDS.matcher(line);
        Matcher left = LEFT.matcher(line);
        if (answered.find()) {
            boolean streamed = answered.group(2).startsWith("last event");
            String how = streamed ? "whole" : answered.group(2).replaceAll(" of .*", "");
            long ms = Long.parseLong(answered.group(3));
            update(answered.group(1), f -> f.ended(streamed, "answered", how, ms));
        } else if (ends.find()) {
            long ms = Long.parseLong(ends.group(3));
            update(ends.group(1), f -> f.ended(false, ends.group(2), ends.group(4), ms));
        } else if (left.find()) {
            long ms = Long.parseLong(left.group(2));
            update(left.group(1), f -> f.ended(false, "left", "its caller left", ms));
        }
    }

    /** Returns a row for each kind, outcome and cause, the most frequent of each kind first. */
    ImmutableList<OutcomeRow> rows() {
        ImmutableListMultimap<Group, RequestFlight> groups =
                Multimaps.index(flights.values(), Group::of);
        return groups.asMap().entrySet().stream()
                .map(e -> row(e.getKey(), e.getValue()))
                .sorted(
                        Comparator.comparing(OutcomeRow::kind, Comparator.reverseOrder())
                                .thenComparing(OutcomeRow::requests, Comparator.reverseOrder())
                                .thenComparing(OutcomeRow::cause))
                .collect(ImmutableList.toImmutableList());
    }

    private static OutcomeRow row(Group group, Collection<RequestFlight> flights) {
        return OutcomeRow.of(group.kind(), group.outcome(), group.cause(), flights);
    }

    private void update(String id, UnaryOperator<RequestFlight> change) {
        flights.put(id, change.apply(flights.getOrDefault(id, RequestFlight.none())));
    }
}

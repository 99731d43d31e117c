package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Picks from the log lines of any number of routers those that tell what became of one request, and
 * puts them in order; not thread-safe.
 *
 * <p>Beside the lines that name the request these are what its routers came to believe meanwhile of
 * the servers that it went to, of the store and of themselves, and which servers had ended under
 * its content or under a part of its prompt.
 */
final class RequestStory {
    /** How long before and after the request a change of belief may matter, in ms. */
    private static final long MARGIN_MS = 3_000;

    private static final Pattern TIME =
            Pattern.compile("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(?:\\.\\d+)?Z");
    private static final Pattern SERVER =
            Pattern.compile(" goes to (.+?) in | resumed on ([\\w.-]+)");

    /** Prefixes of lines on what a router believes of servers. */
    private static final Pattern OF_SERVERS = Pattern.compile("[ \"](?:instances|routing): ");

    /** Prefixes of lines on what any request of a router depends on. */
    private static final Pattern OF_ALL = Pattern.compile("[ \"](?:feed|router): ");

    /** Prefix of lines on contents and parts of prompts that end their servers. */
    private static final Pattern OF_CONTENTS = Pattern.compile("[ \"]quarantine: ");

    /** Id of a content or part, which is a digest. */
    private static final Pattern CONTENT =
            Pattern.compile("(?<![A-Za-z0-9])[0-9a-f]{32}(?![A-Za-z0-9])");

    private final Pattern named;
    private final List<Line> lines = new ArrayList<>();
    private final List<Line> beliefs = new ArrayList<>();
    private final List<Line> evidence = new ArrayList<>();

    /** A line with the time it tells. */
    private record Line(Instant at, String text) {}

    /** Creates an empty story of the request {@code id}. */
    RequestStory(String id) {
        checkNotNull(id, "id");
        named = Pattern.compile("(?<![A-Za-z0-9])" + Pattern.quote(id) + "(?![A-Za-z0-9])");
    }

    /** Takes one line of a log; lines without a time tell nothing that can be put in order. */
    void take(String text) {
        Optional<Instant> at = timeOf(text);
        if (at.isEmpty()) {
            return;
        }
        if (named.matcher(text).find()) {
            lines.add(new Line(at.get(), text));
        } else if (OF_SERVERS.matcher(text).find() || OF_ALL.matcher(text).find()) {
            beliefs.add(new Line(at.get(), text));
        } else if (OF_CONTENTS.matcher(text).find()) {
            evidence.add(new Line(at.get(), text));
        }
    }

    /** Returns the story's lines in order; empty if no line named the request. */
    ImmutableList<String> inOrder() {
        if (lines.isEmpty()) {
            return ImmutableList.of();
        }
        Instant first = lines.stream().map(Line::at).min(Instant::compareTo).orElseThrow();
        Instant last = lines.stream().map(Line::at).max(Instant::compareTo).orElseThrow();
        Predicate<Line> meanwhile =
                l ->
                        l.at().isAfter(first.minusMillis(MARGIN_MS))
                                && l.at().isBefore(last.plusMillis(MARGIN_MS));
        Set<String> servers = servers();
        Stream<Line> matter =
                beliefs.stream().filter(meanwhile).filter(l -> concerns(l.text(), servers));
        return Stream.of(lines.stream(), matter, evidenceBefore(last.plusMillis(MARGIN_MS)))
                .flatMap(l -> l)
                .sorted(comparing(Line::at))
                .map(Line::text)
                .collect(toImmutableList());
    }

    /** Returns what was learnt of the request's content and parts; it may be long before. */
    private Stream<Line> evidenceBefore(Instant end) {
        Set<String> contents = contentsOf(lines);
        return evidence.stream()
                .filter(l -> l.at().isBefore(end))
                .filter(l -> !Collections.disjoint(contentsOf(List.of(l)), contents));
    }

    private static Set<String> contentsOf(List<Line> lines) {
        Set<String> contents = new HashSet<>();
        for (Line line : lines) {
            Matcher m = CONTENT.matcher(line.text());
            while (m.find()) {
                contents.add(m.group());
            }
        }
        return contents;
    }

    private static boolean concerns(String text, Set<String> servers) {
        return OF_ALL.matcher(text).find() || servers.stream().anyMatch(text::contains);
    }

    private Set<String> servers() {
        Set<String> servers = new HashSet<>();
        for (Line line : lines) {
            Matcher m = SERVER.matcher(line.text());
            if (m.find()) {
                servers.add(m.group(1) == null ? m.group(2) : m.group(1));
            }
        }
        return servers;
    }

    private static Optional<Instant> timeOf(String text) {
        Matcher m = TIME.matcher(text);
        return m.find() ? Optional.of(Instant.parse(m.group())) : Optional.empty();
    }
}

package org.masticweir.cli;

import java.util.Arrays;
import java.util.stream.Collectors;

/** How a command ended, as the shell sees it. */
public enum ExitCode {
    OK(0, "done"),
    ROUTER_ERROR(1, "the router answered with an error"),
    BAD_INPUT(2, "bad arguments or a bad file"),
    NOT_REACHABLE(3, "the router is not reachable or did not answer a query in time"),
    CONFLICT(4, "another change came first; read the configuration and apply again"),
    UNSETTLED(5, "the outcome of a change is unknown or still pending");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    public int code() {
        return code;
    }

    /** Returns the lines that every command's help ends with. */
    static String help() {
        return Arrays.stream(values())
                .map(exit -> "    " + exit.code + "  " + exit.meaning)
                .collect(Collectors.joining("\n", "  Exit codes:\n", "\n"));
    }
}

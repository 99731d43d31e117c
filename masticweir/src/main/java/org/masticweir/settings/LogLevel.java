package org.masticweir.settings;

/** The levels from which a daemon may log; the names are those of the logging library. */
public enum LogLevel {
    ERROR,
    WARN,
    INFO,
    DEBUG,
    TRACE
}

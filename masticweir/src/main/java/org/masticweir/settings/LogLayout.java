package org.masticweir.settings;

/** The forms that log lines may have. */
public enum LogLayout {
    /** One line of text for people. */
    TEXT,
    /** One JSON object a line for programs. */
    JSON
}

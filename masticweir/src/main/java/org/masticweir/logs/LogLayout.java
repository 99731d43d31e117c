package org.masticweir.logs;

import com.google.common.base.Ascii;
import com.google.common.base.Enums;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** The layouts that log lines can have. */
public enum LogLayout {
    /** One line of time, level and message, with any stack trace after it. */
    TEXT {
        @Override
        LayoutComponentBuilder describe(ConfigurationBuilder<?> builder) {
            return builder.newLayout("PatternLayout").addAttribute("pattern", TEXT_PATTERN);
        }
    },
    /** One JSON object a line, with time, level, logger, part, message and any exception. */
    JSON {
        @Override
        LayoutComponentBuilder describe(ConfigurationBuilder<?> builder) {
            return builder.newLayout("JsonTemplateLayout")
                    .addAttribute("eventTemplateUri", JSON_TEMPLATE);
        }
    };

    /**
     * Line ends in a message are escaped: a caller's text that reaches a message could otherwise
     * forge a line of its own.
     */
    static final String TEXT_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX}{UTC} %-5level %enc{%msg}{CRLF}%n%throwable";

    private static final String JSON_TEMPLATE = "classpath:org/masticweir/logs/event.json";

    /** Returns the layout that a setting names in lower case, {@code text} or {@code json}. */
    public static LogLayout parse(String name) {
        return Enums.getIfPresent(LogLayout.class, Ascii.toUpperCase(name))
                .toJavaUtil()
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.SETTINGS_INVALID,
                                        "log layout is neither text nor json: " + name));
    }

    /** Describes this layout to a configuration being built. */
    abstract LayoutComponentBuilder describe(ConfigurationBuilder<?> builder);
}

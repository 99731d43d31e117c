package org.masticweir.standins;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/** Sends a stand-in's log lines to standard error, so that only the ready line is on output. */
public final class StandInLogging {
    private static final String APPENDER = "stderr";
    private static final ImmutableList<String> LIBRARIES =
            ImmutableList.of("io.undertow", "org.xnio");
    private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %msg%n%throwable";

    private StandInLogging() {}

    /** Logs at {@code level} and above; throws IllegalArgumentException for an unknown one. */
    public static void start(String level) {
        Level threshold = Level.valueOf(level);
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.add(
                builder.newAppender(APPENDER, ConsoleAppender.PLUGIN_NAME)
                        .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
                        .add(builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN)));
        LIBRARIES.forEach(name -> builder.add(builder.newLogger(name, Level.WARN)));
        builder.add(builder.newRootLogger(threshold).add(builder.newAppenderRef(APPENDER)));
        Configurator.reconfigure(builder.build(false));
    }
}

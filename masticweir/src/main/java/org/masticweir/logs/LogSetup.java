package org.masticweir.logs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Sets up Log4j in code, with all lines on standard error.
 *
 * <p>Call once at the start of a process, before traffic; a later call replaces the setup.
 * Thread-safe.
 */
public final class LogSetup {
    /** The one appender of the configuration. */
    static final String APPENDER = "stderr";

    private static final ImmutableList<String> LIBRARY_LOGGERS =
            ImmutableList.of("io.undertow", "org.xnio", "org.jboss");

    private LogSetup() {}

    /**
     * Replaces the process's log configuration.
     *
     * @param level lowest level written; libraries write nothing below a warning
     */
    public static void configure(LogLayout layout, Level level) {
        Configurator.reconfigure(configuration(layout, level));
    }

    /** Returns the configuration that {@link #configure} would put in force. */
    static BuiltConfiguration configuration(LogLayout layout, Level level) {
        checkNotNull(layout, "layout");
        checkNotNull(level, "level");
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.WARN);
        // The log must outlast a graceful shutdown: its own hook would end it while requests
        // finish.
        builder.setShutdownHook("disable");
        builder.add(
                builder.newAppender(APPENDER, ConsoleAppender.PLUGIN_NAME)
                        .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
                        .add(layout.describe(builder)));
        Level libraries = level.isMoreSpecificThan(Level.WARN) ? level : Level.WARN;
        LIBRARY_LOGGERS.forEach(name -> builder.add(builder.newLogger(name, libraries)));
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef(APPENDER)));
        return builder.build(false);
    }
}

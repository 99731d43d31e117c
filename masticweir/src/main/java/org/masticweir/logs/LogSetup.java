package org.masticweir.logs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
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
    /** The appender that writes. */
    static final String APPENDER = "output";

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

    /**
     * Sets up a process that writes text to standard output and never waits for it.
     *
     * <p>Call it before anything logs: a default setup would be built first.
     */
    public static void toStandardOutput(Level level) {
        checkNotNull(level, "level");
        LoggerContext context = new LoggerContext("masticweir");
        Configurator.initialize(
                new QueuedOutput(context, level, LIBRARY_LOGGERS, libraryLevel(level)));
    }

    /**
     * Writes what waits in the queue and ends logging; call last in a process.
     *
     * <p>Failure guarded against: a process that ends at once takes its last lines with it, and the
     * line that tells of the stop is the one that is looked for. A reader that has stopped reading
     * holds the process for a moment only.
     */
    public static void drain() {
        LogManager.shutdown();
    }

    /** Changes the lowest level that is written. */
    public static void level(Level level) {
        Configurator.setRootLevel(level);
    }

    /** Returns the configuration that {@link #configure} would put in force. */
    static BuiltConfiguration configuration(LogLayout layout, Level level) {
        ConfigurationBuilder<BuiltConfiguration> builder = builder(layout, level);
        builder.add(
                builder.newAppender(APPENDER, ConsoleAppender.PLUGIN_NAME)
                        .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
                        .add(layout.describe(builder)));
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef(APPENDER)));
        return builder.build(false);
    }

    private static ConfigurationBuilder<BuiltConfiguration> builder(LogLayout layout, Level level) {
        checkNotNull(layout, "layout");
        checkNotNull(level, "level");
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.WARN);
        // The log must outlast a graceful shutdown: its own hook would end it while requests
        // finish.
        builder.setShutdownHook("disable");
        Level libraries = libraryLevel(level);
        LIBRARY_LOGGERS.forEach(name -> builder.add(builder.newLogger(name, libraries)));
        return builder;
    }

    /** Libraries write nothing below a warning. */
    private static Level libraryLevel(Level level) {
        return level.isMoreSpecificThan(Level.WARN) ? level : Level.WARN;
    }
}

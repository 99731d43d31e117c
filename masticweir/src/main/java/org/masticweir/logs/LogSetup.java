package org.masticweir.logs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
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

    private static final String QUEUE = "queue";

    /** Lines that wait to be written, some hundred bytes each. */
    private static final int QUEUED_LINES = 4_096;

    /** Time for the queue's last lines at the end of a process, in ms; hundreds of lines' worth. */
    private static final int DRAIN_MS = 100;

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
     * Replaces the process's log configuration by one that writes to standard output and never
     * waits for it.
     *
     * <p>Failure guarded against: whoever reads the output stops reading, and every thread that
     * logs stands still. Lines wait in a queue of bounded length; while it is full, lines below
     * {@link Level#ERROR} are dropped and counted by the library.
     */
    public static void toStandardOutput(LogLayout layout, Level level) {
        ConfigurationBuilder<BuiltConfiguration> builder = builder(layout, level);
        builder.add(
                builder.newAppender(APPENDER, ConsoleAppender.PLUGIN_NAME)
                        .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                        .addAttribute("direct", true)
                        .add(layout.describe(builder)));
        builder.add(
                builder.newAppender(QUEUE, "Async")
                        .addAttribute("bufferSize", QUEUED_LINES)
                        .addAttribute("blocking", false)
                        .addAttribute("shutdownTimeout", DRAIN_MS)
                        .addComponent(builder.newAppenderRef(APPENDER)));
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef(QUEUE)));
        // Not a change of a default setup: building that first takes a tenth of a start.
        Configurator.initialize(builder.build(false));
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
        Level libraries = level.isMoreSpecificThan(Level.WARN) ? level : Level.WARN;
        LIBRARY_LOGGERS.forEach(name -> builder.add(builder.newLogger(name, libraries)));
        return builder;
    }
}

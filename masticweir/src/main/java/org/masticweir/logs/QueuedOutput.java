package org.masticweir.logs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.PatternLayout;

/**
 * A log configuration that writes text to standard output through a queue, and never waits for it.
 *
 * <p>Failure guarded against: whoever reads the output stops reading, and every thread that logs
 * stands still. Lines wait in a queue of bounded length; while it is full, lines below {@link
 * Level#ERROR} are dropped and counted by the library.
 *
 * <p>Its parts are made here and not described to the library's builder, which finds and fills them
 * by reflection at each start.
 */
final class QueuedOutput extends AbstractConfiguration {
    private static final String QUEUE = "queue";

    /** Lines that wait to be written, some hundred bytes each. */
    private static final int QUEUED_LINES = 4_096;

    /** Time for the queue's last lines at the end of a process, in ms; hundreds of lines' worth. */
    private static final int DRAIN_MS = 100;

    private final Level level;
    private final ImmutableList<String> libraries;
    private final Level libraryLevel;

    /**
     * Creates the configuration of {@code context}.
     *
     * @param level lowest level written
     * @param libraries loggers that write nothing below {@code libraryLevel}
     */
    QueuedOutput(
            LoggerContext context,
            Level level,
            ImmutableList<String> libraries,
            Level libraryLevel) {
        super(context, ConfigurationSource.NULL_SOURCE);
        this.level = checkNotNull(level, "level");
        this.libraries = checkNotNull(libraries, "libraries");
        this.libraryLevel = checkNotNull(libraryLevel, "libraryLevel");
        // The log must outlast a graceful shutdown: its own hook would end it while requests
        // finish.
        isShutdownHookEnabled = false;
    }

    @Override
    protected void doConfigure() {
        ConsoleAppender output =
                ConsoleAppender.newBuilder()
                        .setConfiguration(this)
                        .setName(LogSetup.APPENDER)
                        .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                        .setDirect(true)
                        .setLayout(
                                PatternLayout.newBuilder()
                                        .withConfiguration(this)
                                        .withPattern(LogLayout.TEXT_PATTERN)
                                        .build())
                        .build();
        output.start();
        addAppender(output);
        AppenderRef[] behind = {AppenderRef.createAppenderRef(LogSetup.APPENDER, null, null)};
        AsyncAppender queue =
                AsyncAppender.newBuilder()
                        .setConfiguration(this)
                        .setName(QUEUE)
                        .setAppenderRefs(behind)
                        .setBufferSize(QUEUED_LINES)
                        .setBlocking(false)
                        .setShutdownTimeout(DRAIN_MS)
                        .build();
        queue.start();
        addAppender(queue);
        getRootLogger().setLevel(level);
        getRootLogger().addAppender(queue, null, null);
        libraries.forEach(name -> addLogger(name, new LoggerConfig(name, libraryLevel, true)));
    }
}

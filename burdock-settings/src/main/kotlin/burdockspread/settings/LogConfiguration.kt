/**
 * Log configuration of all programs, in code since hosts start often and reading a file costs more
 * of their CPU time than building the few objects it names.
 */
package burdockspread.settings

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Appender
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.Configuration
import org.apache.logging.log4j.core.config.ConfigurationFactory
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.LoggerConfig
import org.apache.logging.log4j.core.filter.BurstFilter
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout
import java.net.URI

/** Creates [LogConfiguration]; Log4j finds it by `log4j2.component.properties`. */
public class LogConfigurationFactory : ConfigurationFactory() {
    override fun getSupportedTypes(): Array<String> = arrayOf("*")

    override fun getConfiguration(
        context: LoggerContext,
        name: String?,
        configLocation: URI?,
    ): Configuration = LogConfiguration(context)

    override fun getConfiguration(
        context: LoggerContext,
        source: ConfigurationSource?,
    ): Configuration = LogConfiguration(context)
}

/**
 * Writes JSON lines to standard output. The system property `burdock.log.level` sets the level of
 * all loggers but those of libraries.
 */
internal class LogConfiguration(context: LoggerContext) :
    AbstractConfiguration(context, ConfigurationSource.NULL_SOURCE) {
    init {
        isShutdownHookEnabled = false
    }

    override fun doConfigure() {
        val console = ConsoleAppender.newBuilder()
            .setName("stdout")
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
            .setConfiguration(this)
            .setLayout(layout())
            .build()
        addAppender(console)
        val queued = queue(console)
        val level = Level.toLevel(System.getProperty("burdock.log.level"), Level.INFO)
        rootLogger.level = level
        rootLogger.addAppender(console, null, null)
        logger("forward", level).apply { isAdditive = false }.addAppender(queued, null, null)
        // Other writers can fill the store with entries, each of which costs a line.
        logger("platform", level).addFilter(burstFilter())
        listOf("io.netty", "io.grpc", "io.ktor").forEach { logger(it, Level.WARN) }
        logger("io.netty.util.internal.MacAddressUtil", Level.ERROR)
    }

    private fun layout(): JsonTemplateLayout = JsonTemplateLayout.newBuilder()
        .setConfiguration(this)
        .setEventTemplateUri("classpath:log-template.json")
        .build()

    /** A full queue drops log lines and reports the loss instead of blocking requests. */
    private fun queue(target: Appender): Appender {
        val queued = AsyncAppender.newBuilder()
            .setName("queued")
            .setConfiguration(this)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(target.name, null, null)))
            .setBlocking(false)
            .setBufferSize(QUEUED_LINES)
            .setShutdownTimeout(SHUTDOWN_TIMEOUT_MILLIS)
            .build()
        addAppender(queued)
        return queued
    }

    private fun burstFilter(): BurstFilter = BurstFilter.newBuilder()
        .setLevel(Level.INFO)
        .setRate(LINES_PER_SECOND)
        .setMaxBurst(BURST_LINES)
        .build()

    private fun logger(name: String, level: Level): LoggerConfig =
        LoggerConfig(name, level, true).also { addLogger(name, it) }

    private companion object {
        const val QUEUED_LINES = 4_096
        const val LINES_PER_SECOND = 10f
        const val BURST_LINES = 100L
        const val SHUTDOWN_TIMEOUT_MILLIS = 500L
    }
}

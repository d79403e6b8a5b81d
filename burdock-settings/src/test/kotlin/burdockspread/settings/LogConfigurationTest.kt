package burdockspread.settings

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class LogConfigurationTest {
    private val context = LogManager.getContext(false) as LoggerContext

    @Test
    fun `the programs log decisions at INFO through a queue`() {
        val configuration = assertIs<LogConfiguration>(context.configuration)
        assertEquals(Level.INFO, LogManager.getLogger("forward").level)
        assertEquals(Level.INFO, LogManager.getLogger("anything").level)
        val forward = configuration.getLoggerConfig("forward")
        assertEquals(setOf("queued"), forward.appenders.keys)
        assertEquals(false, forward.isAdditive)
    }

    @Test
    fun `libraries log warnings only`() {
        listOf("io.netty.channel", "io.grpc.internal", "io.ktor.server").forEach {
            assertEquals(Level.WARN, LogManager.getLogger(it).level, it)
        }
    }
}

package burdockspread.demo

import org.junit.jupiter.api.Timeout
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Starts the packaged forwarder with the options of a host. */
@Timeout(120)
class ClassArchiveTest {
    private val root = Path.of(checkNotNull(System.getProperty("burdock.root")))

    @Test
    fun `the class-data archive of the build is usable with the options of a host`() {
        // -Xshare:on makes the JVM exit on an unusable archive, which it ignores by default.
        val command = listOf(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "@deploy/forward.options",
            "-Xshare:on",
            "-XX:SharedArchiveFile=target/forward/classes.jsa",
            "-jar",
            "target/forward/burdock-platform-0.1.0.jar",
            "--version",
        )
        val process = ProcessBuilder(command).directory(root.toFile())
            .redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        assertEquals(0, process.waitFor(), output)
        assertTrue("burdock-forward" in output, output)
    }
}

package burdockspread.demo

import org.junit.jupiter.api.Timeout
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The package as the platform starts it. */
@Timeout(120)
class ClassArchiveTest {
    private val root = Path.of(checkNotNull(System.getProperty("burdock.root")))

    @Test
    fun `the class-data archive of the build fits the options of a host`() {
        // -Xshare:on ends the JVM where an archive that does not fit would be passed over.
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
        val said = process.inputStream.bufferedReader().readText()
        assertEquals(0, process.waitFor(), said)
        assertTrue("burdock-forward" in said, said)
    }
}

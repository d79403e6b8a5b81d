package burdockspread.settings

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SettingsLoaderTest {
    private fun problems(text: String): List<String> =
        stewardSettingsLoader.parse(text).leftOrNull().orEmpty().map { it.toString() }

    @Test
    fun `accepts valid settings`() {
        assertEquals(emptyList(), problems(steward("3s")))
    }

    @Test
    fun `rejects inconsistent values with the path`() {
        assertEquals(
            listOf("duties.renew: lease must exceed renew and margin together by more than 3s"),
            problems(steward("5s")),
        )
    }

    @Test
    fun `reports the path of each missing or malformed value`() {
        val paths = problems("{}").map { it.substringBefore(":") }
        assertTrue("store.address" in paths && "host.name" in paths, "$paths")
        val bad = problems(steward("3s").replace("127.0.0.1:7300", "localhost"))
        assertTrue(bad.single().startsWith("operatorAddress: \"localhost\" is not"), "$bad")
    }

    @Test
    fun `rejects a missing file`() {
        val problems = entrySettingsLoader.load(Path.of("missing.json")).leftOrNull().orEmpty()
        assertEquals("missing.json does not exist", problems.single().toString())
    }

    @Test
    fun `the slack of a retry budget may be a fraction`() {
        val settings = forwardSettingsLoader.parse(forward("24.193548387096772")).getOrNull()
        assertEquals(24.193548387096772, settings?.retries?.slack)
        listOf("-0.5", "1e9", "\"NaN\"").forEach { slack ->
            val problems = forwardSettingsLoader.parse(forward(slack)).leftOrNull().orEmpty()
            assertEquals("retries.slack", problems.single().path, slack)
        }
    }

    @Test
    fun `limits on the age of the targets are optional and not negative`() {
        val limit = "\"targetLeaveLimitMillis\": 3000.5, \"stopGrace\""
        val text = forward("1").replace("\"stopGrace\"", limit)
        val settings = forwardSettingsLoader.parse(text).getOrNull()
        assertEquals(3000.5, settings?.targetLeaveLimitMillis)
        assertEquals(0.0, settings?.catalogApplyLimitMillis)
        val negative = text.replace("3000.5", "-1")
        val problems = forwardSettingsLoader.parse(negative).leftOrNull().orEmpty()
        assertEquals("targetLeaveLimitMillis", problems.single().path)
    }

    private fun forward(slack: String): String =
        """
        {
          "host": {"name": "a-1", "failureDomain": "a"},
          "callerAddress": "127.0.0.1:7300",
          "readyAddress": "127.0.0.1:7301",
          "peerAddress": "127.0.0.1:7302",
          "operatorAddress": "127.0.0.1:7303",
          "storeAddress": "127.0.0.1:7304",
          "retries": {"ratio": 0.8, "slack": $slack},
          "stopGrace": "8.5s"
        }
        """.trimIndent()

    private fun steward(renew: String): String =
        """
        {
          "host": {"name": "a-1", "failureDomain": "a", "region": "west"},
          "operatorAddress": "127.0.0.1:7300",
          "store": {"address": "127.0.0.1:7000", "namespace": "demo", "callTimeout": "1s"},
          "duties": {"lease": "10s", "renew": "$renew", "margin": "2s"}
        }
        """.trimIndent()
}

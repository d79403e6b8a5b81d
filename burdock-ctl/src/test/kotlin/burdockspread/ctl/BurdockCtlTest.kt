package burdockspread.ctl

import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class BurdockCtlTest {
    @TempDir
    lateinit var directory: Path

    private val environment = FakeEnvironment()

    private val root = """{"name": "root", "owner": "ops", "root": {"sections": [
        {"name": "root", "owner": "ops"}, {"name": "models", "owner": "ops"},
        {"name": "zone-a", "owner": "ops"}]}}"""

    private val zone = """{"name": "zone-a", "owner": "ops", "failureDomain": {
        "name": "zone-a", "region": "west", "hosts": [
        {"name": "h1", "peerAddress": "10.0.0.1:70"}, {"name": "h2", "peerAddress": "10.0.0.2:70"}
        ]}}"""

    private fun models(maxTokens: Int, version: Int = 0) = """{"name": "models", "owner": "ops",
        "version": $version,
        "models": {"models": [{"name": "m1", "version": "1", "maxTokens": $maxTokens}]}}"""

    private fun file(text: String): String =
        directory.resolve("f${text.hashCode()}.json").apply { writeText(text) }.toString()

    private fun run(vararg args: String, team: String = "ops"): CliktCommandTestResult {
        val settings = """{"team": "$team", "hosts": ["127.0.0.1:90"],
            "store": {"address": "127.0.0.1:1", "namespace": "n", "callTimeout": "1s"}}"""
        return BurdockCtl.create(environment).test(listOf("--config", file(settings)) + args)
    }

    private fun start() {
        assertEquals("accepted as version 1\n", run("apply", file(root), file(zone)).stdout)
        assertEquals("accepted as version 2\n", run("apply", file(models(100))).stdout)
    }

    @Test
    fun `a section is edited, shown and rolled back`() {
        start()
        assertEquals(0, run("apply", file(models(200, version = 2)), "--note", "more").statusCode)
        assertContains(run("history", "models").stdout, "2023-11-14T22:13:20Z  ops/ann  more")
        assertContains(run("get", "models", "--version", "2").stdout, "\"maxTokens\": 100")
        assertEquals("accepted as version 4\n", run("rollback", "models", "--to", "2").stdout)
        assertContains(run("get", "models").stdout, "\"version\": \"4\"")
        assertContains(run("list").stdout, "models   ops          4")
    }

    @Test
    fun `a conflict prints both versions and exits with 1`() {
        start()
        run("apply", file(models(200, version = 2)))
        val refused = run("apply", file(models(300, version = 2)))
        assertEquals(1, refused.statusCode)
        assertContains(refused.stderr, "error 501 SECTION_CONFLICT")
        assertContains(refused.stderr, "models.models[m1].maxTokens (changed on both sides)")
        val diff = run("diff", file(models(300, version = 2))).stdout
        assertContains(diff, "  base   100\n  theirs 200\n  yours  300")
    }

    @Test
    fun `refusals report error code, section and path`() {
        start()
        val invalid = run("validate", file(models(0, version = 2)))
        assertContains(invalid.stderr, "error 502 SECTION_INVALID")
        assertContains(invalid.stderr, "models: models.models[m1].maxTokens: 0 is outside")
        val misspelt = models(0).replace("maxTokens", "maxToken")
        assertContains(run("validate", "--offline", file(misspelt)).stderr, "unknown key")
        val other = run("apply", file(models(200, version = 2)), team = "sales")
        assertContains(other.stderr, "error 503 NOT_OWNER")
        assertEquals(1, other.statusCode)
    }

    @Test
    fun `exit codes distinguish settings errors, usage errors and store outages`() {
        assertEquals(3, BurdockCtl.create(environment).test("list").statusCode)
        assertEquals(3, run("check-config", team = "").statusCode)
        assertEquals(0, run("check-config").statusCode)
        assertEquals(2, BurdockCtl.run(environment, listOf("no-such-command")))
        environment.store.faults = StoreFaults { StoreFault.REFUSED }
        assertEquals(5, run("list").statusCode)
        assertContains(run("apply", file(root)).stderr, "error 504 STORE_UNAVAILABLE")
    }

    @Test
    fun `rollout shows hosts in force, waiting and unreported`() {
        start()
        val h1 = """{"host": "h1", "inForce": {"zone-a": "1", "models": "2"}}"""
        environment.replies["GET 127.0.0.1:90/fleet"] = """{"hosts": [$h1]}"""
        val partial = run("rollout", "models", "--wait", "--timeout", "0.1")
        assertContains(partial.stdout, "models version 2: in force on 1 of 2 hosts")
        assertContains(partial.stdout, "h2    no report")
        assertEquals(1, partial.statusCode)
        val h2 = """{"host": "h2", "inForce": {"models": "1"}, "waiting": {"models": "2"}}"""
        environment.replies["GET 127.0.0.1:90/fleet"] = """{"hosts": [$h1, $h2]}"""
        assertContains(run("rollout", "models").stdout, "waits for other sections")
        assertEquals(0, run("rollout", "models", "--version", "1").statusCode)
    }

    @Test
    fun `fleet lists the pools closest to their floor first`() {
        environment.replies["GET 127.0.0.1:90/fleet"] = """{"host": "h1", "pools": [
            {"name": "m1", "failureDomain": "a", "liveTargets": 9, "headRoom": 0.4},
            {"name": "m2", "failureDomain": "b", "liveTargets": 3, "floorTargets": 3,
             "headRoom": 0.2, "trendPerHour": -0.1, "timeToFloor": "5400s"}],
            "hosts": [{"host": "h1", "inForce": {"models": 3}},
                {"host": "h2", "inForce": {"models": 2}}]}"""
        val lines = run("fleet").stdout.lines()
        assertContains(lines[3], Regex("m2 +b +3 +3 +20% +-10.0% +1h 30m +AT FLOOR"))
        assertContains(lines, "document: 1 of 2 hosts behind: h2")
        assertContains(run("fleet", "--json").stdout, "\"headRoom\": 0.4")
    }

    @Test
    fun `dump and drain call the operator port`() {
        environment.replies["GET 10.0.0.1:90/state"] = "{}"
        environment.replies["POST 10.0.0.1:90/drain"] = "draining"
        assertEquals("{}\n", run("dump", "10.0.0.1:90").stdout)
        assertEquals("draining\n", run("drain", "10.0.0.1:90").stdout)
        assertEquals(1, run("drain", "10.0.0.2:90").statusCode)
    }
}

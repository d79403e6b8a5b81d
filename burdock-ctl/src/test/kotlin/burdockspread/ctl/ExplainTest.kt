package burdockspread.ctl

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ExplainTest {
    @TempDir
    lateinit var directory: Path

    @Test
    fun `a stream that resumes on another target is explained with its failed attempt`() {
        val log = """
            {"time":"2026-06-01T03:51:03.100Z","message":{"event":"target_removed","target":"i-1"}}
            {"time":"2026-06-01T03:51:03.361Z","message":{"event":"attempt_failed","request":"r1","attempt":"1","target":"i-1","outcome":"SILENT","detail":"silent for 380ms"}}
            {"time":"2026-06-01T03:51:03.372Z","message":{"event":"resume_succeeded","request":"r1","attempt":"2","pause_ms":"391"}}
            {"time":"2026-06-01T03:51:05.000Z","message":{"event":"responded","request":"r1","status":"200","ms":"5525"}}
        """
        val out = explain("r1", log)
        assertContains(out, "target_removed")
        assertContains(out, "pause_ms=391")
        assertContains(
            out,
            "cause: responded with 200 after 5525 ms; attempt 1 at i-1: SILENT, silent for 380ms",
        )
    }

    @Test
    fun `a refusal is explained with its code and detail`() {
        val log = """
            noise before {"time":"2026-06-01T03:51:03.100Z","message":{"event":"refused","request":"r2","status":"503","code":"205","truth":"NOT_RUN","detail":"no room at 17 targets"}}
        """
        val wanted = "cause: refused with 503, code 205 (NOT_RUN): no room at 17 targets"
        assertContains(explain("r2", log), wanted)
    }

    @Test
    fun `a refused prompt is explained with the verdict and its evidence`() {
        val log = """
            {"time":"2026-06-01T01:00:00.000Z","message":{"event":"prompt_quarantined","verdict":"h1-9f","parts":"bad0","evidence":"r7 at i-1, r7 at i-2"}}
            {"time":"2026-06-01T01:00:00.000Z","message":{"event":"prompt_quarantined","verdict":"h1-9e","parts":"5c1e","evidence":"r6 at i-3"}}
            {"time":"2026-06-01T03:51:03.100Z","message":{"event":"refused","request":"r2","status":"503","code":"208","truth":"NOT_RUN","detail":"targets crash on a part of the prompt, verdict h1-9f"}}
        """
        val out = explain("r2", log)
        assertContains(out, "parts=bad0 evidence=r7 at i-1, r7 at i-2")
        assertFalse("5c1e" in out)
        assertContains(out, "code 208 (NOT_RUN): targets crash on a part of the prompt")
    }

    @Test
    fun `an unknown outcome is explained with the store outage just before it`() {
        val log = """
            # A fatal error has been detected
            {"time":"2026-06-01T03:51:01.100Z","message":{"event":"store_lost","kind":"servers"}}
            {"time":"2026-06-01T03:51:03.100Z","message":{"event":"attempt_failed","request":"r3","attempt":"1","target":"i-9","outcome":"FAILED","detail":"BROKEN"}}
            {"time":"2026-06-01T03:51:03.100Z","message":{"event":"refused","request":"r3","status":"502","code":"403","truth":"OUTCOME_UNKNOWN","detail":"BROKEN"}}
        """
        val out = explain("r3", log)
        assertContains(out, "store_lost")
        assertContains(out, "code 403 (OUTCOME_UNKNOWN): BROKEN; attempt 1 at i-9: FAILED, BROKEN")
    }

    @Test
    fun `a request to a target that had left is explained with the list that showed it`() {
        val log = """
            {"time":"2026-06-01T03:50:01.000Z","message":{"event":"store_listed","kind":"servers","store_version":"70"}}
            {"time":"2026-06-01T03:50:31.000Z","message":{"event":"store_listed","kind":"servers","store_version":"74"}}
            {"time":"2026-06-01T03:51:03.100Z","message":{"event":"responded","request":"r4","status":"200","ms":"12","target":"i-9","target_version":"61"}}
            {"time":"2026-06-01T03:51:04.000Z","message":{"event":"store_listed","kind":"servers","store_version":"99"}}
        """
        val out = explain("r4", log)
        assertContains(out, "kind=servers store_version=74")
        assertContains(out, "target=i-9 target_version=61")
        assertFalse("store_version=70" in out)
        assertFalse("store_version=99" in out)
    }

    @Test
    fun `a request that no log line names is reported as an error`() {
        val result = run("nobody", "{}")
        assertEquals(1, result.statusCode)
        assertContains(result.stderr, "no line of 1 files names the request nobody")
    }

    private fun explain(id: String, log: String): String = run(id, log).stdout

    private fun run(id: String, log: String) = BurdockCtl.create(FakeEnvironment())
        .test(
            listOf(
                "explain",
                id,
                directory.resolve("host.log").apply {
                    writeText(log)
                }.toString(),
            ),
        )
}

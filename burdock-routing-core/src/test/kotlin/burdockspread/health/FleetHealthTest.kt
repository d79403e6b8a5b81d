package burdockspread.health

import burdockspread.error.ErrorCode
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

class FleetHealthTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val domain = FailureDomainId("morbi-a")
    private val model = ModelId("summaries")

    @Test
    fun `loss of a tenth of the capacity per hour warns hours before the first refusal`() {
        val health = FleetHealth()
        val random = Random(1)
        var warnedAt: Int? = null
        var refusedAt: Int? = null
        for (minute in 0..600) {
            val slots = 400 * (1 - minute / 600.0)
            val used = 240 + random.nextDouble(-12.0, 12.0)
            if (used > slots) refusedAt = refusedAt ?: minute
            val now = start + minute.minutes
            health.onSummary(summary(now, targets = (slots / 16).toInt(), slots, used))
            val kinds = health.view(now).warnings.map { it.kind }
            if (FleetWarningKind.FULL_NEAR in kinds || FleetWarningKind.FLOOR_NEAR in kinds) {
                warnedAt = warnedAt ?: minute
            }
        }
        val lead = assertNotNull(refusedAt) - assertNotNull(warnedAt)
        assertTrue(lead >= 120, "warned at $warnedAt min, refused at $refusedAt min")
    }

    @Test
    fun `stable fleet under noisy load raises no warning`() {
        val health = FleetHealth()
        val random = Random(2)
        for (minute in 0..600) {
            val now = start + minute.minutes
            val used = 240 + random.nextDouble(-24.0, 24.0)
            health.onSummary(summary(now, targets = 25, slots = 400.0, used = used))
            assertEquals(emptyList(), health.view(now).warnings.toList(), "minute $minute")
        }
    }

    @Test
    fun `reduced weights lower the capacity although all targets are live`() {
        val health = FleetHealth()
        for (minute in 0..60) {
            val slots = 400.0 - minute
            val now = start + minute.minutes
            health.onSummary(summary(now, targets = 25, slots = slots, used = 100.0))
        }
        val row = health.view(start + 60.minutes).capacity.single()
        assertTrue(row.trendPerHour in -0.2..-0.15, "$row")
        assertNotNull(row.hoursToFloor)
    }

    @Test
    fun `view shows refusals, resumes, lagging hosts, degraded targets and silent domains`() {
        val health = FleetHealth()
        val degraded =
            DegradedTarget(TargetId("t1"), OutlierReason.SLOW, 0.05, start, probation = true)
        health.onSummary(
            summary(start, 25, 400.0, 100.0).copy(
                generations = 200,
                resumes = 4,
                retries = 2,
                refusals = persistentMapOf(ErrorCode.RATE_LIMITED to 3),
                laggingHosts = persistentListOf(LaggingHost(HostId("h1"), 2)),
                degradedTargets = persistentListOf(degraded),
            ),
        )
        val view = health.view(start)
        assertEquals(RefusalRow(201, "RATE_LIMITED", 3), view.refusals.single())
        assertEquals(0.02, view.resumeRate)
        val kinds = view.warnings.map { it.kind }
        assertEquals(
            listOf(FleetWarningKind.HOSTS_BEHIND, FleetWarningKind.TARGET_DECAYS),
            kinds,
        )
        val later = health.view(start + 5.minutes)
        assertEquals(listOf("morbi-a"), later.silentDomains.toList())
        assertEquals(FleetWarningKind.DOMAIN_SILENT, later.warnings.single().kind)
    }

    private fun summary(at: Instant, targets: Int, slots: Double, used: Double) = DomainSummary(
        domain = domain,
        at = at,
        models = persistentListOf(ModelSummary(model, targets, 10, slots, used)),
    )
}

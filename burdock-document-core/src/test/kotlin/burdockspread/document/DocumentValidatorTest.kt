package burdockspread.document

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class DocumentValidatorTest {
    private fun body(text: String): SectionBody =
        assertNotNull(SectionReader.read("", text).getOrNull())

    private fun problemsOf(text: String): List<String> =
        assertNotNull(SectionReader.read("", text).leftOrNull()).map { it.path }

    private fun engine(name: String, address: String) = Documents.engine(name, "m1", address)

    private val others = listOf(
        body(Documents.root("models", "zone-a", "zone-b")),
        body(Documents.models("m1")),
    )

    @Test
    fun `a target or address in two sections is found by full and incremental validation`() {
        val a = body(Documents.domain("zone-a", engine("t1", "10.0.0.1:80")))
        val b = body(Documents.domain("zone-b", engine("t2", "10.0.0.2:80")))
        val clash = body(
            Documents.domain("zone-b", engine("t1", "10.0.0.3:80"), engine("t3", "10.0.0.1:80")),
        )
        assertEquals(emptyList(), DocumentValidator.validate(others + a + b))
        val before = (others + a + b).associateBy { it.name }
        val found = DocumentValidator.checkChange(before, others + a + clash).map { "$it" }.toSet()
        val expected = setOf(
            "zone-b: target \"t1\" is also defined in section zone-a",
            "zone-b: address \"10.0.0.1:80\" is also defined in section zone-a",
        )
        assertEquals(expected, found)
        val whole = DocumentValidator.validate(others + a + clash).map { "$it" }.toSet()
        assertEquals(expected, whole)
    }

    @Test
    fun `a duplicate address in one section and an unlisted section are found`() {
        val twice = body(
            Documents.domain("zone-a", engine("t1", "10.0.0.1:80"), engine("t2", "10.0.0.1:80")),
        )
        val unlisted = body(Documents.section("zone-c", """"models": {}"""))
        assertEquals(
            listOf(
                "zone-c: name: is not listed in section root",
                "zone-a: address \"10.0.0.1:80\" is defined more than once",
            ),
            DocumentValidator.validate(others + twice + unlisted).map { "$it" },
        )
    }

    @Test
    fun `invalid limits, durations, names and addresses are all reported at once`() {
        val organisation = """"organisations": {"organisations": [{"name": "A b",
            "apiKeySha256": ["AB"], "limits": {"requestsPerSecond": -1, "cutOffFloor": 2}}]}"""
        val at = "organisations.organisations[A b]"
        assertEquals(
            listOf("name", "apiKeySha256[0]", "limits.requestsPerSecond", "limits.cutOffFloor"),
            problemsOf(Documents.section("organisations", organisation))
                .map { it.removePrefix("$at.") },
        )
        val service = """"services": {"services": [{"name": "desk",
            "calls": [{"name": "book"}, {"name": "book", "timeout": "1s"}]}]}"""
        assertEquals(
            listOf(
                "services.services[desk].calls[book]",
                "services.services[desk].calls[book].timeout",
            ),
            problemsOf(Documents.section("services", service)),
        )
        val targets = arrayOf("10.0.0.1", "10.0.0.1:0", "host:80", "10.0.01.1:80")
            .mapIndexed { i, address -> engine("t$i", address) }
        assertEquals(
            List(4) { "failureDomain.targets[t$it].address" },
            problemsOf(Documents.domain("zone-a", *targets.toTypedArray())),
        )
    }
}

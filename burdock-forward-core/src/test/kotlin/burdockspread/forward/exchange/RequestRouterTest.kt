package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.catalog.WeightedService
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RequestRouterTest {
    private val router = RequestRouter(1)
    private val catalog = Fixture.catalog(1, Fixture.route(CallKind.IDEMPOTENT))

    @Test
    fun `an unknown path, host or key is refused if the catalog is confirmed`() {
        assertEquals(ErrorCode.UNKNOWN_PATH, code(fields(path = "/b/c")))
        assertEquals(ErrorCode.UNKNOWN_PATH, code(fields(host = "two.example")))
        assertEquals(ErrorCode.UNAUTHENTICATED, code(fields(key = "stolen")))
        assertEquals(ErrorCode.UNAUTHENTICATED, code(fields(key = null)))
    }

    @Test
    fun `a missing or unconfirmed catalog gives a temporary refusal`() {
        assertEquals(ErrorCode.NO_DOCUMENT, code(fields(), catalog = null))
        assertEquals(ErrorCode.NO_DOCUMENT, code(fields(path = "/b/c"), confirmed = false))
        assertEquals(ErrorCode.NO_DOCUMENT, code(fields(key = "new"), confirmed = false))
    }

    @Test
    fun `the deadline is the earlier of the caller's and the route's`() {
        val start = Fixture.START
        assertEquals(start + 2.seconds, call(fields(callerTimeout = 2)).deadline)
        assertEquals(start + 25.seconds, call(fields(callerTimeout = 90)).deadline)
    }

    @Test
    fun `the organisation's priority overrides the route's`() {
        val call = call(fields())
        assertEquals("barbers", call.organisation?.value)
        assertEquals(3, call.priority)
    }

    // A local id was taken for one that targets echo.
    @Test
    fun `a call without a caller's id is marked`() {
        assertTrue(call(fields()).isIdentified)
        assertFalse(call(fields(id = null)).isIdentified)
    }

    @Test
    fun `requests are split among services by fractional weights`() {
        val split = persistentListOf(
            WeightedService(Fixture.DESK, 0.75),
            WeightedService(Fixture.DRAFTS, 0.25),
        )
        val catalog = Fixture.catalog(1, Fixture.route(CallKind.IDEMPOTENT).copy(split = split))
        val calls = List(1_000) {
            checkNotNull(router.resolve(fields(), catalog, true, Fixture.START).getOrNull())
        }
        assertTrue(calls.count { it.service == Fixture.DESK } in 700..800)
    }

    private fun fields(
        host: String = "one.example",
        path: String = "/a/x",
        key: String? = "key-1",
        callerTimeout: Int = 5,
        id: String? = "id-1",
    ) = CallerFields(host, path, id, key, callerTimeout.seconds, null, null)

    private fun code(
        fields: CallerFields,
        catalog: Catalog? = this.catalog,
        confirmed: Boolean = true,
    ) = router.resolve(fields, catalog, confirmed, Fixture.START).leftOrNull()?.code

    private fun call(fields: CallerFields) =
        checkNotNull(router.resolve(fields, catalog, true, Fixture.START).getOrNull())
}

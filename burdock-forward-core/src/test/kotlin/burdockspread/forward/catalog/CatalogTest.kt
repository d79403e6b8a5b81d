package burdockspread.forward.catalog

import burdockspread.forward.Fixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class CatalogTest {
    private val catalog = Fixture.catalog(
        1,
        Fixture.route(CallKind.IDEMPOTENT, "/a/"),
        Fixture.route(CallKind.IDEMPOTENT, "/a/b/"),
        Fixture.route(CallKind.IDEMPOTENT, "/"),
    )

    @Test
    fun `the longest matching prefix wins`() {
        assertEquals("/a/b/", catalog.route("one.example", "/a/b/c")?.pathPrefix)
        assertEquals("/a/", catalog.route("one.example", "/a/bc")?.pathPrefix)
        assertEquals("/", catalog.route("one.example", "/other")?.pathPrefix)
    }

    @Test
    fun `a prefix matches only whole path segments`() {
        assertEquals("/a/", catalog.route("one.example", "/a/b")?.pathPrefix)
    }

    @Test
    fun `a host name without routes matches nothing`() {
        assertNull(catalog.route("two.example", "/a/"))
    }

    @Test
    fun `a key identifies its organisation`() {
        assertEquals("barbers", catalog.organisation("key-1")?.id?.value)
        assertNull(catalog.organisation("key-2"))
    }
}

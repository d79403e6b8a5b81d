package burdockspread.net

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class Ipv4EndpointTest {
    @Test
    fun `an IPv4 address with a port is an endpoint`() {
        listOf("10.0.0.1:80", "255.255.255.255:65535", "0.0.0.0:1").forEach {
            assertTrue(isIpv4Endpoint(it), it)
        }
    }

    @Test
    fun `other texts are no endpoints`() {
        val texts = listOf(
            "", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0:80", "10.0.0.256:80", "10.0.0.1:0",
            "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.-1:80", "10.0.0.1:+80", "host:80",
            "1.2.3.4.5:80", "10.0.0.1:80:80", " 10.0.0.1:80", "10..0.1:80",
        )
        texts.forEach { assertFalse(isIpv4Endpoint(it), it) }
    }
}

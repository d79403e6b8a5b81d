package burdockspread.forward.host

import burdockspread.forward.http.Transport
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PromptLocations
import burdockspread.forward.load.TargetLossListener
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.wire.forward.HostLoads
import burdockspread.wire.forward.PromptAtTarget
import burdockspread.wire.forward.TargetRuns
import burdockspread.wire.settings.RetrySettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Load reports of a peer over loopback. */
@Timeout(60)
class LoadExchangeTest {
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val port = DatagramSocket(0, loopback).use { it.localPort }
    private val transport = Transport()
    private val prompts = PromptLocations()
    private val pools = ServicePools(
        FailureDomainId("north"),
        1,
        RetrySettings.getDefaultInstance(),
        { 1 },
        LoadPolicy.factory(prompts = prompts),
        TargetLossListener { },
    )

    @Volatile
    private var failures = 0
    private val exchange = LoadExchange(
        HostId("self"),
        "127.0.0.1:$port",
        transport,
        pools,
        prompts,
        ::now,
    )

    @AfterEach
    fun close(): Unit = transport.close()

    @Test
    fun `malformed datagrams are ignored`() {
        exchange.start()
        val random = Random(20_261_205)
        val valid = report(7, 1).toByteArray()
        val malformed = List(40) { random.nextBytes(random.nextInt(0, 200)) } +
            List(40) { valid.copyOf(random.nextInt(valid.size)) } +
            listOf(
                // Groups of an unknown field, each within the one before.
                ByteArray(60_000) { 0x0B },
                // A text of two bytes that are no UTF-8.
                byteArrayOf(0x0A, 2, -1, -1),
                // A text of 2 GB.
                byteArrayOf(0x0A, -1, -1, -1, -1, 7),
            )
        malformed.forEach(::send)
        assertTrue(applies(prompt = 8), "the exchange stopped")
    }

    @Test
    fun `numbers out of range and unknown names are ignored`() {
        exchange.start()
        listOf(Int.MIN_VALUE, -1, Int.MAX_VALUE).forEach { runs ->
            val target = TargetRuns.newBuilder().setTarget("\u0000 ".repeat(2_000)).setRuns(runs)
            send(report(9, Long.MIN_VALUE).toBuilder().addTargets(target).build().toByteArray())
        }
        assertTrue(applies(prompt = 10), "the exchange stopped")
        transport.requests.submit { exchange.tick() }.get()
    }

    // Guards against an exchange that stops at an unexpected exception.
    @Test
    fun `an unexpected exception costs one datagram`() {
        exchange.start()
        failures = 2
        assertTrue(applies(prompt = 11), "the exchange stopped")
        assertTrue(failures == 0)
    }

    private fun now(): Instant {
        if (failures > 0) {
            failures--
            error("the clock failed")
        }
        return Instant.fromEpochSeconds(1_000)
    }

    /** Sends a report with [prompt] until it is applied; returns false if that takes too long. */
    private fun applies(prompt: Long): Boolean {
        val end = TimeSource.Monotonic.markNow() + 10.seconds
        var sequence = 2L
        while (end.hasNotPassedNow()) {
            send(report(prompt, sequence++).toByteArray())
            val found = transport.requests
                .submit<Boolean> { prompts.find(prompt, Instant.fromEpochSeconds(1_000)) != null }
            if (found.get()) return true
        }
        return false
    }

    private fun report(prompt: Long, sequence: Long): HostLoads = HostLoads.newBuilder()
        .setHost("peer")
        .setSequence(sequence)
        .addTargets(TargetRuns.newBuilder().setTarget("i-1").setRuns(2))
        .addPrompts(PromptAtTarget.newBuilder().setPrompt(prompt).setTarget(TargetId("i-1").value))
        .build()

    private fun send(bytes: ByteArray): Unit = DatagramSocket().use {
        it.send(DatagramPacket(bytes, bytes.size, InetSocketAddress(loopback, port)))
    }
}

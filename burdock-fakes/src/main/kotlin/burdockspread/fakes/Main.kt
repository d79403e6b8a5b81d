/** Starts one fake of an external system as a process, for the demo and the end-to-end tests. */
package burdockspread.fakes

import burdockspread.fakes.api.ObjectApiServer
import burdockspread.fakes.desk.OrderDeskServer
import burdockspread.fakes.engine.EngineOptions
import burdockspread.fakes.engine.EngineServer
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Entry point of the fake servers. */
public fun main(args: Array<String>) {
    FakeServers().subcommands(ObjectApi(), Engine(), OrderDesk()).main(args)
}

/** Blocks until a signal ends the process, which the servers' threads do not keep alive. */
private fun blockUntilSignal(): Unit = CountDownLatch(1).await()

private class FakeServers : CliktCommand("stand-in") {
    override fun run() = Unit
}

private class ObjectApi : CliktCommand("object-api") {
    private val port by option().int().required()

    override fun run() {
        ObjectApiServer(port).start()
        blockUntilSignal()
    }
}

private class Engine : CliktCommand("engine") {
    private val port by option().int().required()
    private val slots by option().int().default(8)
    private val tokenMillis by option().int().default(20)
    private val prefillMicros by option(help = "per uncached prompt character").int().default(0)
    private val fencing by option(help = "1 to reject stale fencing tokens").int().default(1)
    private val salt by option().default("")

    override fun run() {
        val options =
            EngineOptions(
                slots = slots,
                tokenInterval = tokenMillis.milliseconds,
                prefillPerChar = prefillMicros.microseconds,
                checksFencing = fencing == 1,
                salt = salt,
            )
        EngineServer(port, options).start()
        blockUntilSignal()
    }
}

private class OrderDesk : CliktCommand("order-desk") {
    private val port by option().int().required()
    private val workMillis by option().int().default(0)

    override fun run() {
        OrderDeskServer(port, workMillis.milliseconds).start()
        blockUntilSignal()
    }
}

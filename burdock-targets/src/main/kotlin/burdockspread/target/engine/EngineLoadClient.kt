/** Client for the load metrics of engines. */
package burdockspread.target.engine

import burdockspread.target.targetClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration

/**
 * Load of an engine.
 *
 * @property running number of generations in its batch.
 * @property waiting number of requests in its queue.
 */
public data class EngineLoad(public val running: Int, public val waiting: Int)

/** Result of reading an engine's load. */
public sealed interface LoadAnswer {
    /** The engine reported its load. */
    public data class Load(public val load: EngineLoad) : LoadAnswer

    /** The engine refused the connection. */
    public data object Refused : LoadAnswer

    /** The engine sent no response, or one without the load metrics. */
    public data object Silent : LoadAnswer
}

/** Reads the load of engines. */
public fun interface EngineLoadClient {
    /** Reads the load of the engine at [address], an IP:port. */
    public suspend fun load(address: String): LoadAnswer
}

/** Load client that scrapes engines' `/metrics` endpoints in the Prometheus text format. */
public class HttpEngineLoadClient(timeout: Duration) :
    EngineLoadClient,
    Closeable {
    private val client = targetClient(timeout, timeout)

    override suspend fun load(address: String): LoadAnswer = try {
        parse(client.get("http://$address/metrics").bodyAsText())
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        LoadAnswer.Refused
    } catch (e: Exception) {
        LoadAnswer.Silent
    }

    override fun close() {
        client.close()
    }

    private fun parse(text: String): LoadAnswer {
        val running = gauge(text, RUNNING) ?: return LoadAnswer.Silent
        val waiting = gauge(text, WAITING) ?: return LoadAnswer.Silent
        return LoadAnswer.Load(EngineLoad(running, waiting))
    }

    /** Returns the sum of the gauge [name] over its labels, or null when [text] lacks it. */
    private fun gauge(text: String, name: String): Int? {
        val values = text.lineSequence()
            .filter { it.startsWith("$name ") || it.startsWith("$name{") }
            .mapNotNull { it.substringAfterLast(' ').toDoubleOrNull() }
            .toList()
        return if (values.isEmpty()) null else values.sum().toInt()
    }

    private companion object {
        const val RUNNING = "vllm:num_requests_running"
        const val WAITING = "vllm:num_requests_waiting"
    }
}

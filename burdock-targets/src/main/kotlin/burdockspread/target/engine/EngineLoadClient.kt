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
public sealed interface LoadResult {
    /** The engine reported its load. */
    public data class Load(public val load: EngineLoad) : LoadResult

    /** The engine refused the connection. */
    public data object Refused : LoadResult

    /** The engine sent no response, or one without the load metrics. */
    public data object Unavailable : LoadResult
}

/** Reads the load of engines. */
public fun interface EngineLoadClient {
    /** Reads the load of the engine at [address], an IP:port. */
    public suspend fun load(address: String): LoadResult
}

/** Load client that scrapes engines' `/metrics` endpoints in the Prometheus text format. */
public class HttpEngineLoadClient(timeout: Duration) :
    EngineLoadClient,
    Closeable {
    private val client = targetClient(timeout, timeout)

    override suspend fun load(address: String): LoadResult = try {
        parse(client.get("http://$address/metrics").bodyAsText())
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        LoadResult.Refused
    } catch (e: Exception) {
        LoadResult.Unavailable
    }

    override fun close() {
        client.close()
    }

    private fun parse(text: String): LoadResult {
        val running = gauge(text, RUNNING_METRIC) ?: return LoadResult.Unavailable
        val waiting = gauge(text, WAITING_METRIC) ?: return LoadResult.Unavailable
        return LoadResult.Load(EngineLoad(running, waiting))
    }

    /** Returns the sum of the gauge [name] over its labels, or null when [text] lacks it. */
    private fun gauge(text: String, name: String): Int? {
        val values = text.lineSequence()
            .filter { it.startsWith("$name ") || it.startsWith("$name{") }
            .mapNotNull { it.substringAfterLast(' ').toDoubleOrNull() }
            .filter { it.isFinite() }
            .toList()
        return if (values.isEmpty()) null else values.sum().toInt()
    }

    private companion object {
        const val RUNNING_METRIC = "vllm:num_requests_running"
        const val WAITING_METRIC = "vllm:num_requests_waiting"
    }
}

/** HTTP client setup shared by the clients of targets. */
package burdockspread.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import kotlin.time.Duration

private const val MAX_CONNECTIONS = 4_096

/**
 * Creates an HTTP client that returns responses of every status instead of throwing.
 *
 * @param connectTimeout connect timeout.
 * @param callTimeout request timeout; null for calls that set their own or have none.
 */
internal fun targetClient(connectTimeout: Duration, callTimeout: Duration? = null): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = connectTimeout.inWholeMilliseconds
            requestTimeoutMillis =
                callTimeout?.inWholeMilliseconds ?: HttpTimeoutConfig.INFINITE_TIMEOUT_MS
        }
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }

/** What the clients of targets share. */
package burdockspread.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import kotlin.time.Duration

private const val MAX_CONNECTIONS = 4_096

/**
 * A client that returns every status to its caller.
 *
 * @param connect time in which a connection must be made.
 * @param request time in which a call must end; null for calls that set their own or have none.
 */
internal fun targetClient(connect: Duration, request: Duration? = null): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = connect.inWholeMilliseconds
            requestTimeoutMillis =
                request?.inWholeMilliseconds ?: HttpTimeoutConfig.INFINITE_TIMEOUT_MS
        }
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }

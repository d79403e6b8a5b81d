/** External dependencies of the commands. */
package burdockspread.ctl

import burdockspread.settings.toKotlinDuration
import burdockspread.store.ObjectStore
import burdockspread.store.http.HttpObjectStore
import burdockspread.wire.settings.StoreSettings
import java.io.Closeable
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant

/** Provides the clients, the clock and the random source that commands use. */
public interface CtlEnvironment {
    /** Client for the operator ports of the hosts. */
    public val operatorClient: OperatorClient

    /** Name of the user who runs the command, recorded in the history. */
    public val user: String

    /** Random source for edit ids and retry delays. */
    public val random: Random

    /** Returns the current time. */
    public fun now(): Instant

    /** Creates a client of the platform's store. */
    public fun store(settings: StoreSettings): ObjectStore
}

/** Environment with network clients and the system clock. */
internal class RealCtlEnvironment :
    CtlEnvironment,
    Closeable {
    private val httpClient = HttpOperatorClient()
    private val clients = ArrayList<HttpObjectStore>()

    override val operatorClient: OperatorClient get() = httpClient

    override val user: String = System.getProperty("user.name") ?: "unknown"

    override val random: Random = Random.Default

    override fun now(): Instant = Clock.System.now()

    override fun store(settings: StoreSettings): ObjectStore {
        val timeout = settings.callTimeout.toKotlinDuration()
        return HttpObjectStore(settings.address, settings.namespace, timeout).also { clients += it }
    }

    override fun close() {
        httpClient.close()
        clients.forEach { it.close() }
    }
}

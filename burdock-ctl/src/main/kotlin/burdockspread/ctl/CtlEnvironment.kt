/** What the commands need from outside. */
package burdockspread.ctl

import burdockspread.settings.toKotlinDuration
import burdockspread.store.ObjectStore
import burdockspread.store.http.HttpObjectStore
import burdockspread.wire.settings.StoreSettings
import java.io.Closeable
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant

/** Makes the clients that commands use. */
public interface CtlEnvironment {
    /** Operators' ports of the hosts. */
    public val operators: OperatorClient

    /** Name of the person at the keyboard, for the history. */
    public val user: String

    /** Source of edit ids and waits. */
    public val random: Random

    /** The present time. */
    public fun now(): Instant

    /** A client of the platform's store. */
    public fun store(settings: StoreSettings): ObjectStore
}

/** The real clients. */
internal class RealCtlEnvironment :
    CtlEnvironment,
    Closeable {
    private val http = HttpOperatorClient()
    private val stores = ArrayList<HttpObjectStore>()

    override val operators: OperatorClient get() = http

    override val user: String = System.getProperty("user.name") ?: "unknown"

    override val random: Random = Random.Default

    override fun now(): Instant = Clock.System.now()

    override fun store(settings: StoreSettings): ObjectStore {
        val timeout = settings.callTimeout.toKotlinDuration()
        return HttpObjectStore(settings.address, settings.namespace, timeout).also { stores += it }
    }

    override fun close() {
        http.close()
        stores.forEach { it.close() }
    }
}

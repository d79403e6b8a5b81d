package burdockspread.ctl

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ObjectStore
import burdockspread.wire.settings.StoreSettings
import kotlin.random.Random
import kotlin.time.Instant

/** Environment with a fake store and operator ports that reply from a map of calls to bodies. */
internal class FakeEnvironment :
    CtlEnvironment,
    OperatorClient {
    val store = FakeObjectStore()
    val replies = HashMap<String, String>()
    val calls = ArrayList<String>()

    override val operatorClient: OperatorClient get() = this
    override val user = "ann"
    override val random = Random(1)

    override fun now() = Instant.fromEpochSeconds(1_700_000_000)

    override fun store(settings: StoreSettings): ObjectStore = store

    override suspend fun get(address: String, path: String) = reply("GET $address$path")

    override suspend fun post(address: String, path: String) = reply("POST $address$path")

    private fun reply(call: String): OperatorReply {
        calls += call
        return replies[call]?.let { OperatorReply.Body(it) } ?: OperatorReply.Failed("no reply")
    }
}

package burdockspread.ctl

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ObjectStore
import burdockspread.wire.settings.StoreSettings
import kotlin.random.Random
import kotlin.time.Instant

/** A fake store, and operators' ports that answer from a map of path to text. */
internal class FakeEnvironment :
    CtlEnvironment,
    OperatorClient {
    val store = FakeObjectStore()
    val replies = HashMap<String, String>()
    val calls = ArrayList<String>()

    override val operators: OperatorClient get() = this
    override val user = "ann"
    override val random = Random(1)

    override fun now() = Instant.fromEpochSeconds(1_700_000_000)

    override fun store(settings: StoreSettings): ObjectStore = store

    override suspend fun get(address: String, path: String) = answer("GET $address$path")

    override suspend fun post(address: String, path: String) = answer("POST $address$path")

    private fun answer(call: String): OperatorReply {
        calls += call
        return replies[call]?.let { OperatorReply.Body(it) } ?: OperatorReply.Failed("no answer")
    }
}

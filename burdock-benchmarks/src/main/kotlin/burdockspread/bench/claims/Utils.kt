/** Helpers for the benchmark of the claims ledger. */
package burdockspread.bench.claims

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine

/** Runs [block] on the calling thread and fails if it suspends. */
internal fun <T> runSync(block: suspend () -> T): T {
    var result: Result<T>? = null
    block.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
    return checkNotNull(result) { "the block must not suspend" }.getOrThrow()
}

/** A store that ignores write conditions. */
internal class UnconditionalStore(private val fake: FakeObjectStore) : ObjectStore by fake {
    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult {
        val current = fake.peek(key)
        val satisfiedCondition =
            current?.let { WriteCondition.AtVersion(it.version) } ?: WriteCondition.Absent
        return fake.put(key, value, satisfiedCondition, writeId)
    }
}

/** Maps [items] on [THREADS] threads and returns the results in order of the items. */
internal fun <A, B> mapInParallel(items: List<A>, map: (A) -> B): List<B> {
    val pool = Executors.newFixedThreadPool(THREADS)
    return try {
        pool.invokeAll(items.map { Callable { map(it) } }).map { it.get() }
    } finally {
        pool.shutdown()
    }
}

private const val THREADS = 4

/** Wiring and life cycle of a steward process. */
package burdockspread.steward

import burdockspread.document.DocumentReplica
import burdockspread.document.relay.DocumentRelay
import burdockspread.duty.Candidate
import burdockspread.duty.CandidateId
import burdockspread.duty.Duty
import burdockspread.duty.LeaseSettings
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.settings.ExitCode
import burdockspread.settings.MonotonicClock
import burdockspread.settings.toKotlinDuration
import burdockspread.store.http.HttpObjectStore
import burdockspread.target.order.HttpOrderClient
import burdockspread.wire.settings.StewardSettings
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Steward of one failure domain, active while it holds the placement lease. */
internal class StewardProcess(private val settings: StewardSettings) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val thread = Dispatchers.Default.limitedParallelism(1)
    private val time = MonotonicClock()
    private val host = HostId(settings.host.name)
    private val domain = FailureDomainId(settings.host.failureDomain)
    private val store =
        HttpObjectStore(
            settings.store.address,
            settings.store.namespace,
            settings.store.callTimeout.toKotlinDuration(),
        )
    private val document = DocumentReplica()
    private val duty = Duty.placement(domain)
    private val leaseSettings =
        LeaseSettings(
            duration = settings.duties.lease.toKotlinDuration(),
            margin = settings.duties.margin.toKotlinDuration(),
            renewPeriod = settings.duties.renew.toKotlinDuration(),
        )
    private val duties: DutyRunner =
        DutyRunner(
            scope,
            thread,
            CandidateId(host, time.now().toEpochMilliseconds()),
            Candidate(host, domain),
            duty,
            leaseSettings,
            LeaseStore(store),
            time,
        )
    private val orders = HttpOrderClient(ORDER_TIMEOUT)
    private val placement: PlacementRunner =
        PlacementRunner(scope, thread, domain, document::view, duties, orders, time)
    private val stopping = AtomicBoolean()
    private val stopped = CompletableDeferred<ExitCode>()
    private val server: StewardServer =
        StewardServer(settings.operatorAddress) {
            StewardDump(
                settings.host.name,
                settings.host.failureDomain,
                duty.name,
                duties.held()?.token,
                document.versions().inForce,
                placement.status,
            )
        }

    /** Opens the operator port and starts to compete for the lease. */
    fun start() {
        server.start(::stop)
        scope.launch { DocumentRelay(host, store, document) { }.run() }
        scope.launch { duties.run() }
        scope.launch { placement.run() }
    }

    /** Waits until the process has stopped. */
    suspend fun awaitStop(): ExitCode = stopped.await()

    /** Releases the lease and stops the process. Later calls have no effect. */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) return
        scope.launch {
            withTimeoutOrNull(RELEASE_TIMEOUT) { duties.release() }
            server.stop()
            orders.close()
            store.close()
            stopped.complete(ExitCode.OK)
            scope.cancel()
        }
    }

    private companion object {
        val ORDER_TIMEOUT = 2.seconds
        val RELEASE_TIMEOUT = 3.seconds
    }
}

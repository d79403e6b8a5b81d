/** Sending of calls to targets. */
package burdockspread.call

import burdockspread.document.ServiceCall
import burdockspread.pool.Route
import burdockspread.pool.TargetObserver
import burdockspread.request.ServiceRequest
import burdockspread.route.RequestFailure
import burdockspread.target.service.ServiceClient
import burdockspread.target.service.ServiceResult
import burdockspread.time.TimeSource
import burdockspread.target.service.ServiceCall as TargetCall

/** Sends calls and reports their outcomes to routing. */
internal class CallSender(
    private val client: ServiceClient,
    private val targets: TargetObserver,
    private val time: TimeSource,
) {
    /** Sends [request] to the target of [route] without retries. */
    suspend fun send(request: ServiceRequest, call: ServiceCall, route: Route): ServiceResult {
        val address = route.target.address
        val key = request.key?.value
        val result = client.send(TargetCall(address, call.name, request.body, key, call.timeout))
        val now = time.now()
        when (result) {
            is ServiceResult.Responded -> {
                targets.onResponse(route.target.id)
                route.inFlightRequest.onDone(now)
            }
            is ServiceResult.NotSent -> {
                targets.onConnectionRefused(route.target.id)
                route.inFlightRequest.onFailed(RequestFailure.NOT_CONNECTED, now)
            }
            is ServiceResult.Unknown -> route.inFlightRequest.onFailed(RequestFailure.BROKEN, now)
        }
        return result
    }
}

/** Results of requests. */
package burdockspread.request

import burdockspread.error.Refusal
import burdockspread.stream.ResponseReader

/** Outcome of a request, or a reader for its response. */
public sealed interface RequestResult

/** Result of a successful request. */
public sealed interface SuccessResult : RequestResult

/** A running or finished generation, whose response is read with [reader]. */
public data class GenerationResult(public val reader: ResponseReader) : SuccessResult

/** Response of a plain service. */
public data class ServiceResponse(public val status: Int, public val body: String) : SuccessResult

/** The request was rejected or failed. */
public data class ErrorResult(public val refusal: Refusal) : RequestResult

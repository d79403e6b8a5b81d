/** Results of requests. */
package burdockspread.request

import burdockspread.error.Refusal
import burdockspread.stream.AnswerReader

/** How a request ended, or how its answer is to be read. */
public sealed interface RequestResult

/** A result that the caller can use. */
public sealed interface SuccessResult : RequestResult

/** A generation runs or has run; its answer is read with [reader]. */
public data class GenerationResult(public val reader: AnswerReader) : SuccessResult

/** A plain service answered. */
public data class ServiceAnswer(public val status: Int, public val body: String) : SuccessResult

/** The request was refused or failed. */
public data class ErrorResult(public val refusal: Refusal) : RequestResult

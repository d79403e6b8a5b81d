/** Table of the numbered error codes. A test checks `docs/ERRORS.md` against it. */
@file:Suppress("MaxLineLength", "ktlint:standard:max-line-length") // One row for each code.

package burdockspread.error

/**
 * A numbered result code.
 *
 * Numbers never change and are never reused: 1xx bad requests, 2xx limits and load, 3xx
 * generations, 4xx non-repeatable calls, 5xx document and store, 6xx processes and settings.
 */
public enum class ErrorCode(
    /** Stable number. */
    public val number: Int,
    /** HTTP status returned to callers. */
    public val httpStatus: Int,
    /** What the caller may conclude about effects. */
    public val executionOutcome: ExecutionOutcome,
    /** Whether sending the same request again later can succeed. */
    public val retryable: Boolean,
    /** One sentence for the table in the docs. */
    public val meaning: String,
) {
    MALFORMED_REQUEST(
        101,
        400,
        ExecutionOutcome.NOT_RUN,
        false,
        "The body is not valid JSON for this path.",
    ),
    UNAUTHENTICATED(
        102,
        401,
        ExecutionOutcome.NOT_RUN,
        false,
        "The API key is missing or belongs to no organisation.",
    ),
    UNKNOWN_MODEL(
        103,
        404,
        ExecutionOutcome.NOT_RUN,
        false,
        "The document does not define the model.",
    ),
    UNKNOWN_SERVICE(
        104,
        404,
        ExecutionOutcome.NOT_RUN,
        false,
        "The document does not define the service or call.",
    ),
    BODY_TOO_LARGE(
        105,
        413,
        ExecutionOutcome.NOT_RUN,
        false,
        "The body exceeds the limit in the settings.",
    ),
    REQUEST_TIMEOUT(
        106,
        408,
        ExecutionOutcome.NOT_RUN,
        true,
        "The caller did not send the complete request in time.",
    ),
    KEY_REQUIRED(
        107,
        400,
        ExecutionOutcome.NOT_RUN,
        false,
        "The call may not be repeated and needs an Idempotency-Key.",
    ),
    REQUEST_ID_REUSED(
        108,
        409,
        ExecutionOutcome.NOT_RUN,
        false,
        "The request id is in use for another request of the organisation.",
    ),
    UNKNOWN_PATH(109, 404, ExecutionOutcome.NOT_RUN, false, "No such path or method."),
    TOO_MANY_TOKENS(
        110,
        400,
        ExecutionOutcome.NOT_RUN,
        false,
        "max_tokens exceeds the limit of the model.",
    ),

    HEADERS_TOO_LARGE(
        111,
        431,
        ExecutionOutcome.NOT_RUN,
        false,
        "The request line and headers exceed the limit.",
    ),

    RATE_LIMITED(
        201,
        429,
        ExecutionOutcome.NOT_RUN,
        true,
        "The organisation has exhausted its share of requests or tokens.",
    ),
    TOO_MANY_CONCURRENT(
        202,
        429,
        ExecutionOutcome.NOT_RUN,
        true,
        "The organisation has too many open requests.",
    ),
    DEADLINE_UNREACHABLE(
        203,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "The queue is too long for the request's deadline.",
    ),
    NO_TARGET(
        204,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "No live target serves the model or service.",
    ),
    OVERLOADED(
        205,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "The host has reached its limit of open requests.",
    ),
    DRAINING(
        206,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "The host is draining and accepts no new work.",
    ),
    RETRY_BUDGET_SPENT(
        207,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "Every attempt failed before the first token and the budget is exhausted.",
    ),
    PROMPT_QUARANTINED(
        208,
        503,
        ExecutionOutcome.NOT_RUN,
        false,
        "Targets crash on a part of the prompt; prompts with it are refused.",
    ),

    ATTEMPTS_EXHAUSTED(
        301,
        502,
        ExecutionOutcome.INCOMPLETE,
        true,
        "The generation used all attempts of its policy.",
    ),
    GENERATION_LOST(
        302,
        410,
        ExecutionOutcome.INCOMPLETE,
        true,
        "No host has the rest of the generation; restart it.",
    ),
    GENERATION_SUPERSEDED(
        303,
        409,
        ExecutionOutcome.INCOMPLETE,
        true,
        "Another entry host has taken the generation over.",
    ),
    SLOW_READER(
        304,
        499,
        ExecutionOutcome.INCOMPLETE,
        true,
        "The caller read too slowly and was disconnected.",
    ),
    OFFSET_AHEAD(
        305,
        409,
        ExecutionOutcome.INCOMPLETE,
        false,
        "The caller requested an offset beyond the generated tokens.",
    ),
    ENGINE_REJECTED(
        306,
        502,
        ExecutionOutcome.INCOMPLETE,
        false,
        "The engine refused the request as invalid.",
    ),
    CUT_OFF(
        307,
        503,
        ExecutionOutcome.INCOMPLETE,
        true,
        "The host of the generation is currently unreachable.",
    ),

    CLAIM_UNAVAILABLE(
        401,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "The claim could not be written; no call was or will be sent.",
    ),
    CALL_IN_PROGRESS(
        402,
        409,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        true,
        "A call with this key is in progress; retry to get its answer.",
    ),
    OUTCOME_UNKNOWN(
        403,
        502,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        false,
        "A call may have been sent; it is never sent again.",
    ),
    KEY_REUSED(
        404,
        422,
        ExecutionOutcome.NOT_RUN,
        false,
        "The key was used before with a different body.",
    ),
    CALL_NOT_RUN(
        405,
        503,
        ExecutionOutcome.NOT_RUN,
        false,
        "The call with this key was refused and will never be sent.",
    ),
    CALL_FAILED(
        406,
        502,
        ExecutionOutcome.INCOMPLETE,
        true,
        "An idempotent call failed on every target tried.",
    ),
    CLAIM_PENDING(
        407,
        503,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        true,
        "The claim's write has no answer yet; retry with the same key.",
    ),
    KEY_NOT_LOOKED_UP(
        408,
        503,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        true,
        "Refused before the key was looked up; an earlier send of it may have run.",
    ),

    TARGET_TIMEOUT(
        409,
        504,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        false,
        "No complete answer arrived before the deadline; the call may have run.",
    ),
    MALFORMED_RESPONSE(
        410,
        502,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        false,
        "A target sent bytes that are no response, or more than a response may hold.",
    ),

    SECTION_CONFLICT(
        501,
        409,
        ExecutionOutcome.NOT_RUN,
        true,
        "The section changed since it was read.",
    ),
    SECTION_INVALID(
        502,
        422,
        ExecutionOutcome.NOT_RUN,
        false,
        "The document with this edit would not be valid.",
    ),
    NOT_OWNER(503, 403, ExecutionOutcome.NOT_RUN, false, "Another team owns the section."),
    STORE_UNAVAILABLE(
        504,
        503,
        ExecutionOutcome.NOT_RUN,
        true,
        "The platform's object API does not answer.",
    ),
    WRITE_UNRESOLVED(
        505,
        503,
        ExecutionOutcome.OUTCOME_UNKNOWN,
        true,
        "The answer to a write was lost and could not be read back yet.",
    ),
    NO_DOCUMENT(506, 503, ExecutionOutcome.NOT_RUN, true, "The host has no document yet."),
    FENCED(
        507,
        409,
        ExecutionOutcome.NOT_RUN,
        false,
        "The order or write carries an outdated fencing token.",
    ),

    SETTINGS_INVALID(
        601,
        500,
        ExecutionOutcome.NOT_RUN,
        false,
        "The settings file is missing or invalid.",
    ),
    ADDRESS_IN_USE(
        602,
        500,
        ExecutionOutcome.NOT_RUN,
        false,
        "A port of the settings cannot be opened.",
    ),
    INTERNAL(603, 500, ExecutionOutcome.INCOMPLETE, true, "An internal error."),
}

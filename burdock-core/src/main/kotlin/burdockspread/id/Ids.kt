/** Typed identifiers. */
package burdockspread.id

/** Name of an organisation (a customer). */
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a failure domain (a zone). */
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a host (a machine of the system). */
@JvmInline
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a target (a back end): an engine or a plain service. */
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a model. */
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plain service. */
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Id of a caller's request, chosen by the caller or by the first entry host. */
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Id of one answer to a request. A restart that is disclosed to the caller gets a new one. */
@JvmInline
public value class GenerationId(public val value: String) {
    override fun toString(): String = value
}

/** Number of an attempt within a generation, from 1. Only a current attempt may add tokens. */
@JvmInline
public value class AttemptNumber(public val value: Int) : Comparable<AttemptNumber> {
    /** Returns the number of the next attempt. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    override fun compareTo(other: AttemptNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Idempotency key, by which a caller marks repeated sends of one call. */
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

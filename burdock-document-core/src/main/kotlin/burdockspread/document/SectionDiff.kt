/** Human-readable differences between versions of a section. */
package burdockspread.document

import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Duration
import com.google.protobuf.Message
import com.google.protobuf.util.Durations
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Values at a field path where versions of a section differ; null means that the field is absent.
 *
 * @property base value in the base version of the edit; also null if that version is unknown.
 * @property theirs value in the current version.
 * @property yours value in the edit.
 */
public data class PathDifference(
    public val path: String,
    public val base: String?,
    public val theirs: String?,
    public val yours: String?,
) {
    /** Whether both sides changed the value, and to different results. */
    public val isConflict: Boolean get() = base != theirs && base != yours && theirs != yours
}

/** Compares sections field by field. */
public object SectionDiff {
    /** Returns all paths at which [theirs] and [yours] differ from each other or from [base]. */
    public fun threeWay(
        base: Section?,
        theirs: Section,
        yours: Section,
    ): ImmutableList<PathDifference> {
        val baseValues = base?.let { flatten(it) }.orEmpty()
        val theirValues = flatten(theirs)
        val yourValues = flatten(yours)
        return (baseValues.keys + theirValues.keys + yourValues.keys).sorted()
            .map { PathDifference(it, baseValues[it], theirValues[it], yourValues[it]) }
            .filter { it.theirs != it.yours || it.base != it.theirs && base != null }
            .toImmutableList()
    }

    /** Returns all paths at which [yours] differs from [theirs]. */
    public fun twoWay(theirs: Section, yours: Section): ImmutableList<PathDifference> =
        threeWay(theirs, theirs, yours)

    private fun flatten(section: Section): Map<String, String> {
        val values = LinkedHashMap<String, String>()
        flatten(section.toBuilder().clearVersion().build(), "", values)
        return values
    }

    private fun flatten(message: Message, path: String, values: MutableMap<String, String>) {
        for ((field, value) in message.allFields) {
            val key = if (path.isEmpty()) field.jsonName else "$path.${field.jsonName}"
            when {
                field.isRepeated && field.javaType == FieldDescriptor.JavaType.MESSAGE ->
                    message.elements(field).forEach {
                        flatten(it, "$key[${elementName(it)}]", values)
                    }
                field.isRepeated -> values[key] = (value as List<*>).joinToString(", ", "[", "]")
                value is Duration -> values[key] =
                    Durations.toSecondsAsDouble(value).toString() + "s"
                value is Message -> flatten(value, key, values)
                else -> values[key] = value.toString()
            }
        }
    }
}

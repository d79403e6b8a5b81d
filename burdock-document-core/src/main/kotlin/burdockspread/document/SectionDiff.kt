/** Readable differences between texts of one section. */
package burdockspread.document

import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Duration
import com.google.protobuf.Message
import com.google.protobuf.util.Durations
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * One path at which texts of a section differ; null means that the text has nothing there.
 *
 * @property base value in the version that the edit started from; null also when it is not known.
 * @property theirs value in force.
 * @property yours value in the edit.
 */
public data class PathDifference(
    public val path: String,
    public val base: String?,
    public val theirs: String?,
    public val yours: String?,
) {
    /** Whether both sides changed the value and differ. */
    public val isConflict: Boolean get() = base != theirs && base != yours && theirs != yours
}

/** Compares sections path by path. */
public object SectionDiff {
    /** All paths at which [theirs] and [yours] differ from each other or from [base]. */
    public fun threeWay(
        base: Section?,
        theirs: Section,
        yours: Section,
    ): ImmutableList<PathDifference> {
        val old = base?.let { flatten(it) }.orEmpty()
        val current = flatten(theirs)
        val edited = flatten(yours)
        return (old.keys + current.keys + edited.keys).sorted()
            .map { PathDifference(it, old[it], current[it], edited[it]) }
            .filter { it.theirs != it.yours || it.base != it.theirs && base != null }
            .toImmutableList()
    }

    /** All paths at which [yours] differs from [theirs]. */
    public fun twoWay(theirs: Section, yours: Section): ImmutableList<PathDifference> =
        threeWay(theirs, theirs, yours)

    private fun flatten(section: Section): Map<String, String> {
        val values = LinkedHashMap<String, String>()
        flatten(section.toBuilder().clearVersion().build(), "", values)
        return values
    }

    private fun flatten(message: Message, path: String, values: MutableMap<String, String>) {
        for ((field, value) in message.allFields) {
            val at = if (path.isEmpty()) field.jsonName else "$path.${field.jsonName}"
            when {
                field.isRepeated && field.javaType == FieldDescriptor.JavaType.MESSAGE ->
                    message.elements(field).forEach {
                        flatten(it, "$at[${elementName(it)}]", values)
                    }
                field.isRepeated -> values[at] = (value as List<*>).joinToString(", ", "[", "]")
                value is Duration -> values[at] =
                    Durations.toSecondsAsDouble(value).toString() + "s"
                value is Message -> flatten(value, at, values)
                else -> values[at] = value.toString()
            }
        }
    }
}

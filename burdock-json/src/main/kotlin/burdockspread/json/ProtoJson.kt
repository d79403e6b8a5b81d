/** JSON encoding of protobuf messages. */
package burdockspread.json

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject

/**
 * Parses JSON as a protobuf message, with all validation errors and their paths, and prints it.
 *
 * Unknown keys, wrong types and wrong units are errors; nothing is ignored silently.
 */
public object ProtoJson {
    private val parser = JsonFormat.parser()
    private val printer = JsonFormat.printer()
    private val linePrinter = JsonFormat.printer().omittingInsignificantWhitespace()

    /** Parses [text] as a message of the type of [prototype], or returns all its errors. */
    public fun <M : Message> read(
        text: String,
        prototype: M,
    ): Either<NonEmptyList<JsonProblem>, M> {
        val root =
            try {
                Json.parseBounded(text)
            } catch (e: SerializationException) {
                return problem("", "not valid JSON: ${firstLine(e)}")
            }
        val problems = mutableListOf<JsonProblem>()
        checkMessage(root, prototype, "", problems)
        problems.toNonEmptyListOrNull()?.let { return it.left() }
        return convert(text, prototype)
    }

    /** Returns [message] as indented JSON. */
    public fun write(message: Message): String = printer.print(message)

    /** Returns [message] as JSON on one line. */
    public fun writeLine(message: Message): String = linePrinter.print(message)

    @Suppress("UNCHECKED_CAST")
    private fun <M : Message> convert(
        text: String,
        prototype: M,
    ): Either<NonEmptyList<JsonProblem>, M> = try {
        val builder = prototype.newBuilderForType()
        parser.merge(text, builder)
        (builder.build() as M).right()
    } catch (e: InvalidProtocolBufferException) {
        problem("", firstLine(e))
    }

    private fun checkMessage(
        element: JsonElement,
        prototype: Message,
        path: String,
        problems: MutableList<JsonProblem>,
    ) {
        if (element !is JsonObject) {
            problems += JsonProblem(path, "expected an object")
            return
        }
        for ((key, value) in element) {
            val fieldPath = if (path.isEmpty()) key else "$path.$key"
            val field = findField(prototype.descriptorForType, key)
            if (field == null) {
                val known = prototype.descriptorForType.fields.joinToString { it.jsonName }
                problems += JsonProblem(fieldPath, "unknown key; known keys: $known")
            } else {
                checkField(value, field, prototype, fieldPath, problems)
            }
        }
    }

    private fun checkField(
        value: JsonElement,
        field: FieldDescriptor,
        owner: Message,
        path: String,
        problems: MutableList<JsonProblem>,
    ) {
        when {
            value is JsonNull -> problems += JsonProblem(path, "null is not allowed; omit the key")
            !isNestedMessage(field) -> checkLeaf(value, field, owner, path, problems)
            !field.isRepeated ->
                checkMessage(value, prototypeOf(field, owner), path, problems)
            value is JsonArray ->
                value.forEachIndexed { i, item ->
                    checkMessage(item, prototypeOf(field, owner), "$path[$i]", problems)
                }
            else -> problems += JsonProblem(path, "expected a list")
        }
    }

    /** Parses the field on its own, so that the protobuf library's error gets the right path. */
    private fun checkLeaf(
        value: JsonElement,
        field: FieldDescriptor,
        owner: Message,
        path: String,
        problems: MutableList<JsonProblem>,
    ) {
        val single = buildJsonObject { put(field.jsonName, value) }
        try {
            parser.merge(single.toString(), owner.newBuilderForType())
        } catch (e: InvalidProtocolBufferException) {
            val hint = if (isDuration(
                    field,
                )
            ) {
                "; expected seconds with the unit, such as \"0.5s\""
            } else {
                ""
            }
            problems += JsonProblem(path, firstLine(e) + hint)
        }
    }

    private fun prototypeOf(field: FieldDescriptor, owner: Message): Message =
        owner.newBuilderForType().newBuilderForField(field).buildPartial()

    private fun findField(descriptor: Descriptor, key: String): FieldDescriptor? =
        descriptor.fields.find { it.jsonName == key || it.name == key }

    private fun isNestedMessage(field: FieldDescriptor): Boolean =
        field.javaType == FieldDescriptor.JavaType.MESSAGE &&
            !field.messageType.fullName.startsWith("google.protobuf.")

    private fun isDuration(field: FieldDescriptor): Boolean =
        field.javaType == FieldDescriptor.JavaType.MESSAGE &&
            field.messageType.fullName == "google.protobuf.Duration"

    private fun problem(
        path: String,
        message: String,
    ): Either<NonEmptyList<JsonProblem>, Nothing> =
        NonEmptyList(JsonProblem(path, message), emptyList()).left()

    private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()
}

/** Treats the lists of a section as sets of named elements. */
package burdockspread.document

import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message

/** The lists of named elements among the fields of this message type. */
internal fun Descriptor.namedLists(): List<FieldDescriptor> = fields.filter { field ->
    field.isRepeated &&
        field.javaType == FieldDescriptor.JavaType.MESSAGE &&
        field.messageType.findFieldByName("name") != null
}

/** The name of a named element. */
internal fun elementName(element: Message): String =
    element.getField(element.descriptorForType.findFieldByName("name")) as String

/** The elements of a list of messages. */
@Suppress("UNCHECKED_CAST")
internal fun Message.elements(list: FieldDescriptor): List<Message> =
    getField(list) as List<Message>

/** The field that holds the body of this section, or null when it has none. */
internal fun Section.bodyField(): FieldDescriptor? =
    getOneofFieldDescriptor(descriptorForType.oneofs.single())

/** A copy in which every list of named elements is in order of the names. */
internal fun Section.sorted(): Section.Builder {
    val field = bodyField() ?: return toBuilder()
    return toBuilder().setField(field, sortedElements(getField(field) as Message))
}

private fun sortedElements(message: Message): Message {
    val builder = message.toBuilder()
    for (list in message.descriptorForType.namedLists()) {
        val sorted = message.elements(list).map { sortedElements(it) }.sortedBy { elementName(it) }
        builder.setField(list, sorted)
    }
    return builder.build()
}

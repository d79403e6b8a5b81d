/** Access to the repeated fields of a section as sets of named elements. */
package burdockspread.document

import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message

/** Returns the repeated message fields whose elements have a `name` field. */
internal fun Descriptor.namedLists(): List<FieldDescriptor> = fields.filter { field ->
    field.isRepeated &&
        field.javaType == FieldDescriptor.JavaType.MESSAGE &&
        field.messageType.findFieldByName("name") != null
}

/** Returns the value of the `name` field of [element]. */
internal fun elementName(element: Message): String =
    element.getField(element.descriptorForType.findFieldByName("name")) as String

/** Returns the elements of the repeated message field [list]. */
@Suppress("UNCHECKED_CAST")
internal fun Message.elements(list: FieldDescriptor): List<Message> =
    getField(list) as List<Message>

/** Returns the field that is set in the body oneof of this section, or null. */
internal fun Section.bodyField(): FieldDescriptor? =
    getOneofFieldDescriptor(descriptorForType.oneofs.single())

/** Returns a copy in which every list of named elements is sorted by name. */
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

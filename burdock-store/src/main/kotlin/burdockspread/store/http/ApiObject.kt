/** JSON representation of objects in the platform's object API. */
package burdockspread.store.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** API group and version under which the system's object kinds are registered. */
internal const val API_VERSION: String = "burdockspread.io/v1"

/** Annotation with the id of the write that produced an object's current version. */
internal const val WRITE_ID_ANNOTATION: String = "burdockspread.io/write-id"

@Serializable
internal data class ApiObject(
    val apiVersion: String = API_VERSION,
    val kind: String,
    val metadata: ApiMetadata,
    val spec: JsonElement = JsonObject(emptyMap()),
)

@Serializable
internal data class ApiMetadata(
    val name: String = "",
    val resourceVersion: String? = null,
    val annotations: Map<String, String> = emptyMap(),
)

/** A list; its items are decoded one by one, since any program may have written them. */
@Serializable
internal data class ApiList(val metadata: ApiMetadata, val items: List<JsonElement>)

/** A line of a watch; its object, also of any program, is decoded apart. */
@Serializable
internal data class ApiWatchEvent(val type: String, @SerialName("object") val value: JsonElement)

@Serializable
internal data class ApiDeleteOptions(val preconditions: ApiPreconditions)

@Serializable
internal data class ApiPreconditions(val resourceVersion: String)

package medlarroute.lab

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** JSON format of all files and messages of the lab. Unknown fields are ignored. */
val labJson: Json = Json {
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/**
 * Returns a copy of [current] in which each field of the JSON object [patch] replaces the field of the same name.
 * Throws [IllegalArgumentException] if [current] has no such field.
 */
internal inline fun <reified T> mergePatch(current: T, patch: String): T {
    val fields = labJson.encodeToJsonElement(kotlinx.serialization.serializer<T>(), current).jsonObject
    val changes = labJson.parseToJsonElement(patch).jsonObject
    val unknown = changes.keys - fields.keys
    require(unknown.isEmpty()) { "unknown fields: ${unknown.joinToString()}" }
    return labJson.decodeFromJsonElement(kotlinx.serialization.serializer<T>(), JsonObject(fields + changes))
}

internal inline fun <reified T> jsonResponse(
    value: T,
    status: HttpStatus = HttpStatus.OK,
    headers: Map<String, String> = emptyMap(),
): HttpResponse {
    val head = ResponseHeaders.builder(status).contentType(MediaType.JSON)
    headers.forEach { (name, text) -> head.set(name.lowercase(), text) }
    val body = labJson.encodeToString(kotlinx.serialization.serializer<T>(), value)
    return HttpResponse.of(head.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body))
}

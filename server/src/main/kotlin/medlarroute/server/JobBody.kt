package medlarroute.server

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import medlarroute.core.KindId
import medlarroute.core.Refusal
import medlarroute.core.RefusalCode
import medlarroute.core.TaskSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Limits on the body of a job. */
internal data class JobLimits(
    val maxTasks: Int,
    val maxPayloadBytes: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration,
)

/** The body of `POST /v1/jobs`. */
internal data class JobBody(
    val kind: KindId,
    val timeout: Duration,
    val idempotent: Boolean,
    val tasks: List<TaskSpec>,
) {
    companion object {
        /** Parses a request body; on failure returns all findings, each with its place in the body. */
        fun parse(body: ByteArray, limits: JobLimits): Either<NonEmptyList<Refusal>, JobBody> {
            if (isNestedTooDeeply(body)) return malformed("body", "is nested deeper than $MAX_NESTING levels")
            val root = try {
                Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
            } catch (e: SerializationException) {
                return malformed("body", "not JSON: ${e.message?.lineSequence()?.first()}")
            } catch (_: CharacterCodingException) {
                return malformed("body", "not UTF-8")
            }
            if (root !is JsonObject) return malformed("body", "must be an object")
            return JobBodyReader(limits).read(root)
        }

        /** The timeout of the job in [body]; the longest allowed one if the body is malformed. */
        fun timeoutOf(body: ByteArray, limits: JobLimits): Duration =
            parse(body, limits).fold({ limits.maxTimeout }, { it.timeout })

        /** The JSON parser is recursive, so a small body of many brackets would overflow the stack. */
        private fun isNestedTooDeeply(body: ByteArray): Boolean {
            var nesting = 0
            var inString = false
            var escaped = false
            for (byte in body) {
                when (byte.toInt().toChar()) {
                    '"' -> if (!escaped) inString = !inString
                    '[', '{' -> if (!inString) nesting++
                    ']', '}' -> if (!inString) nesting--
                }
                escaped = inString && !escaped && byte == BACKSLASH
                if (nesting > MAX_NESTING) return true
            }
            return false
        }

        private const val BACKSLASH = '\\'.code.toByte()

        /** A valid body is nested three levels deep. */
        private const val MAX_NESTING = 16

        private fun malformed(place: String, message: String) =
            NonEmptyList(Refusal(RefusalCode.MALFORMED, place, message), emptyList()).left()
    }
}

/** Reads one body and collects its errors. */
private class JobBodyReader(private val limits: JobLimits) {
    private val findings = ArrayList<Refusal>()

    fun read(root: JsonObject): Either<NonEmptyList<Refusal>, JobBody> {
        (root.keys - FIELDS).forEach { addFinding(it, "unknown field") }
        val kind = text(root["kind"], "kind")
        if (kind != null &&
            kind.length !in 1..MAX_KIND_LENGTH
        ) {
            addFinding("kind", "must have 1 to $MAX_KIND_LENGTH characters")
        }
        val timeout = timeout(root["deadlineMs"])
        val idempotent = flag(root["idempotent"], "idempotent")
        val tasks = tasks(root["tasks"])
        return findings.toNonEmptyListOrNull()?.left()
            ?: JobBody(KindId(kind.orEmpty()), timeout, idempotent, tasks).right()
    }

    private fun timeout(element: JsonElement?): Duration {
        if (element == null) return limits.defaultTimeout
        val timeoutMs = (element as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        val maxMs = limits.maxTimeout.inWholeMilliseconds
        if (timeoutMs == null || timeoutMs !in 1..maxMs) {
            addFinding("deadlineMs", "must be a whole number from 1 to $maxMs")
        }
        return (timeoutMs ?: 0).milliseconds
    }

    private fun flag(element: JsonElement?, place: String): Boolean {
        if (element == null) return true
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        if (value == null) addFinding(place, "must be true or false")
        return value ?: true
    }

    private fun tasks(element: JsonElement?): List<TaskSpec> {
        val array = element as? JsonArray
        if (array == null) {
            addFinding("tasks", if (element == null) "missing" else "must be a list")
            return emptyList()
        }
        if (array.size !in 1..limits.maxTasks) {
            addFinding("tasks", "a job has 1 to ${limits.maxTasks} tasks, this one has ${array.size}")
            return emptyList()
        }
        return array.mapIndexed { index, task -> task(task, "tasks[$index]") }
    }

    private fun task(element: JsonElement, place: String): TaskSpec {
        if (element !is JsonObject) {
            addFinding(place, "must be an object")
            return TaskSpec("")
        }
        (element.keys - TASK_FIELDS).forEach { addFinding("$place.$it", "unknown field") }
        val payload = text(element["payload"], "$place.payload").orEmpty()
        val sizeBytes = payload.encodeToByteArray().size
        if (sizeBytes > limits.maxPayloadBytes) {
            val message = "has $sizeBytes bytes, ${limits.maxPayloadBytes} are allowed"
            addFinding("$place.payload", message, RefusalCode.TOO_LARGE)
        }
        return TaskSpec(payload, declared(element["declaredMs"], "$place.declaredMs"))
    }

    private fun declared(element: JsonElement?, place: String): Duration? {
        if (element == null) return null
        val declaredMs = (element as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        if (declaredMs == null || declaredMs !in 0..MAX_DECLARED_MS) {
            addFinding(place, "must be a whole number from 0 to $MAX_DECLARED_MS")
        }
        return declaredMs?.milliseconds
    }

    private fun text(element: JsonElement?, place: String): String? {
        if (element is JsonPrimitive && element.isString) return element.content
        addFinding(place, if (element == null) "missing" else "must be a string")
        return null
    }

    private fun addFinding(place: String, message: String, code: RefusalCode = RefusalCode.MALFORMED) {
        if (findings.size < MAX_FINDINGS) findings += Refusal(code, place, message)
    }

    private companion object {
        val FIELDS = setOf("kind", "deadlineMs", "idempotent", "tasks")
        val TASK_FIELDS = setOf("payload", "declaredMs")
        const val MAX_KIND_LENGTH = 128
        const val MAX_DECLARED_MS = 86_400_000L

        /** Limits the size of the reply to a large malformed body. */
        const val MAX_FINDINGS = 50
    }
}

package medlarroute.lab

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture

/** Body of `POST /v1/jobs`, as in section 4.2 of docs/design.md. */
@Serializable
internal class JobRequest(val kind: String, val deadlineMs: Long, val idempotent: Boolean, val tasks: List<Task>) {
    @Serializable
    class Task(val payload: String)
}

/** Reply to a request about a submission, with the fields that the lab reads. */
@Serializable
internal class JobReply(
    val status: String,
    val submission: String? = null,
    val results: List<TaskResult> = emptyList(),
    val code: String = "",
    val detail: String = "",
    val findings: List<Finding> = emptyList(),
) {
    @Serializable
    class Finding(val code: String, val place: String = "", val message: String = "")

    /** Status of the answer; null if the reply is not a final answer, as with `running`. */
    fun answerStatus(): AnswerStatus? = AnswerStatus.entries.firstOrNull { it.name.equals(status, ignoreCase = true) }

    /** Code of the failure, or of the first finding; empty if there is neither. */
    fun failureCode(): String = code.ifEmpty { findings.firstOrNull()?.code.orEmpty() }
}

/** Body of the reply to `POST /v1/tickets`. */
@Serializable
internal class TicketReply(val ticket: String, @SerialName("retentionMs") val retentionMs: Long = 0)

/**
 * HTTP client of a caller for the entry instance at [entry], given as `host:port`. The futures fail if there is no
 * reply or it can't be parsed.
 */
internal class CallerClient(val entry: String, factory: ClientFactory, timeoutMs: Long) {
    private val client = WebClient.builder("http://$entry")
        .factory(factory)
        .responseTimeoutMillis(timeoutMs)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build()

    fun openTicket(caller: String): CompletableFuture<String> =
        send(HttpMethod.POST, "/v1/tickets", caller).thenApply {
            labJson.decodeFromString<TicketReply>(it.contentUtf8()).ticket
        }

    /** Completes with the HTTP status and the reply once the job has ended. */
    fun submit(caller: String, submission: String, job: JobRequest): CompletableFuture<Pair<Int, JobReply>> {
        val body = labJson.encodeToString(JobRequest.serializer(), job)
        return send(HttpMethod.POST, "/v1/jobs", caller, body, submission)
            .thenApply { it.status().code() to parseReply(it) }
    }

    fun cancel(caller: String, submission: String): CompletableFuture<Pair<Int, JobReply>> =
        send(HttpMethod.DELETE, "/v1/jobs/$submission", caller).thenApply { it.status().code() to parseReply(it) }

    private fun parseReply(response: AggregatedHttpResponse): JobReply =
        try {
            labJson.decodeFromString<JobReply>(response.contentUtf8())
        } catch (malformed: SerializationException) {
            error("malformed reply with HTTP status ${response.status()}: ${malformed.message}")
        }

    private fun send(
        method: HttpMethod,
        path: String,
        caller: String,
        body: String = "",
        submission: String? = null,
    ): CompletableFuture<AggregatedHttpResponse> {
        val headers = RequestHeaders.builder(method, path).contentType(MediaType.JSON).set("x-caller", caller)
        submission?.let { headers.set("submission-id", it) }
        return client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body))).aggregate()
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 16L * 1024 * 1024
    }
}

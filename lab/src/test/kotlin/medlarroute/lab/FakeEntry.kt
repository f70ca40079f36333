package medlarroute.lab

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import java.time.Duration.ZERO
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * A fake entry instance for tests of the load generator. It replies to each job with [answer], or with 502 for null.
 */
internal class FakeEntry(
    private val name: String,
    private val answer: (submission: String, job: JobRequest) -> HttpResponse?,
) : AutoCloseable {
    /** Number of requests by submission id. */
    val requestCounts = ConcurrentHashMap<String, AtomicInteger>()
    val cancelled: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val tickets = AtomicInteger()

    private val server = Server.builder()
        .http(0)
        .gracefulShutdownTimeout(ZERO, ZERO)
        .service("/v1/tickets") { _, _ -> openTicket() }
        .serviceUnder("/v1") { context, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    val submission = request.headers().get("submission-id").orEmpty()
                    if (context.method() == HttpMethod.DELETE) {
                        cancelled.add(context.path().removePrefix("/v1/jobs/"))
                        HttpResponse.of(HttpStatus.OK, MediaType.JSON, """{"status":"running","submission":"x"}""")
                    } else {
                        requestCounts.computeIfAbsent(submission) { AtomicInteger() }.incrementAndGet()
                        answer(submission, labJson.decodeFromString<JobRequest>(it.contentUtf8()))
                            ?: HttpResponse.of(HttpStatus.BAD_GATEWAY)
                    }
                },
            )
        }
        .build()
        .also { it.start().join() }

    val address: String get() = "127.0.0.1:${server.activeLocalPort()}"

    override fun close() {
        server.stop()
    }

    private fun openTicket(): HttpResponse {
        val id = "n.$name.1.${tickets.incrementAndGet()}"
        return HttpResponse.of(
            HttpStatus.CREATED,
            MediaType.JSON,
            """{"ticket":"$id","retentionMs":1,"windowSequences":1}""",
        )
    }

    companion object {
        fun complete(submission: String, outputs: List<String>): HttpResponse {
            val results = outputs.mapIndexed { index, output -> """{"index":$index,"output":"$output"}""" }
            val body = """{"status":"complete","submission":"$submission","results":[${results.joinToString()}]}"""
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body)
        }

        fun correctAnswer(submission: String, job: JobRequest): HttpResponse =
            complete(submission, job.tasks.map { StandinTaskSpec.outputOf(it.payload) })
    }
}

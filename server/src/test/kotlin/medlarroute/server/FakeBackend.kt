package medlarroute.server

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.FailureDomainId
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue

/** Backend server on an ephemeral loopback port that records every request and replies as the test defines. */
internal class FakeBackend(
    id: String = "b1",
    private val onStart: (StartMessage) -> CompletableFuture<HttpResponse> = { now(done("out of ${it.payload}")) },
    private val onState: (String) -> HttpResponse = { HttpResponse.of(HttpStatus.NOT_FOUND) },
) : AutoCloseable {
    data class Call(val method: String, val task: String, val body: String)

    val starts = LinkedBlockingQueue<StartMessage>()
    val calls = LinkedBlockingQueue<Call>()
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .service("/v1/tasks") { _, request -> HttpResponse.of(request.aggregate().thenCompose(::start)) }
        .service("/v1/tasks/{task}") { context, _ -> state(context.pathParam("task")!!) }
        .service("/v1/tasks/{task}/{verb}") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { call(context.pathParam("task")!!, it) })
        }
        .build()
        .also { it.start().join() }

    val port: Int = server.activeLocalPort()
    val backendId = BackendId(id)
    val address = BackendAddress(backendId, "127.0.0.1", port)
    val endpoint = BackendEndpoint(BackendServer(backendId, FailureDomainId("local"), slots = 8), "127.0.0.1", port)

    private fun start(request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val message = backendJson.decodeFromString<StartMessage>(request.contentUtf8())
        starts += message
        return onStart(message)
    }

    private fun state(task: String): HttpResponse {
        calls += Call("GET", task, "")
        return onState(task)
    }

    private fun call(task: String, request: AggregatedHttpRequest): HttpResponse {
        calls += Call(request.path().substringAfterLast('/'), task, request.contentUtf8())
        return HttpResponse.of(HttpStatus.OK)
    }

    /** Returns at once: the server's threads end only after a quiet period of 2 s. */
    override fun close() {
        server.closeAsync()
    }

    companion object {
        fun <T> now(value: T): CompletableFuture<T> = CompletableFuture.completedFuture(value)

        fun done(output: String): HttpResponse = task("""{"state":"done","output":"$output","runMs":3}""")

        fun task(json: String, vararg headers: Pair<String, String>): HttpResponse = reply(
            HttpStatus.OK,
            json,
            *headers,
        )

        fun notStarted(vararg headers: Pair<String, String>): HttpResponse =
            reply(HttpStatus.SERVICE_UNAVAILABLE, "{}", "Task-Started" to "no", *headers)

        private fun reply(status: HttpStatus, json: String, vararg headers: Pair<String, String>): HttpResponse {
            val responseHeaders = ResponseHeaders.builder(status).contentType(MediaType.JSON)
            headers.forEach { (name, value) -> responseHeaders.add(name, value) }
            return HttpResponse.of(responseHeaders.build(), HttpData.ofUtf8(json))
        }
    }
}

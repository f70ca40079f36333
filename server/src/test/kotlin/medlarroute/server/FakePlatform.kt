package medlarroute.server

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.Json
import medlarroute.core.PlatformSettings
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** In-memory platform service on an ephemeral loopback port, with fault injection. */
internal class FakePlatform : AutoCloseable {
    private class Row(val value: String, val version: Int)

    private val rows = ConcurrentHashMap<String, Row>()
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service("/v1/tables/{table}/rows/{key}", aggregated(::row))
        .service("/v1/tables/{table}/transactions", aggregated(::transaction))
        .service("/v1/instances", aggregated { _, request -> instances(request) })
        .build()

    /** All requests fail with HTTP status 503. */
    @Volatile var isDown = false

    /** Requests are neither processed nor answered. */
    @Volatile var isSilent = false

    /** Writes are processed once this is complete. */
    @Volatile var writesResume: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)

    /** Number of next writes that take effect and get no reply. */
    val repliesToLose = AtomicInteger()

    /** Number of next writes that are dropped and get no reply. */
    val writesToDrop = AtomicInteger()

    @Volatile var listed: List<ListedInstance> = emptyList()
    val transactions = AtomicInteger()
    val requests = AtomicInteger()

    init {
        server.start().join()
    }

    val settings: PlatformSettings
        get() = PlatformSettings(
            url = "http://127.0.0.1:${server.activeLocalPort()}",
            timeoutMs = 300,
            listIntervalMs = 50,
            rulesIntervalMs = 50,
            maxBackoffMs = 200,
        )

    override fun close() {
        server.closeAsync().join()
    }

    private fun aggregated(handle: (ServiceRequestContext, AggregatedHttpRequest) -> HttpResponse) =
        HttpService { context, request ->
            val gate = if (request.method().name == "GET") READ_GATE else writesResume
            val ready = gate.thenCombine(request.aggregate()) { _, aggregated -> aggregated }
            HttpResponse.of(ready.thenApply { withFaults(context, it, handle) })
        }

    private fun withFaults(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        handle: (ServiceRequestContext, AggregatedHttpRequest) -> HttpResponse,
    ): HttpResponse {
        requests.incrementAndGet()
        val isWrite = request.method().name != "GET"
        if (isDown) return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        if (isSilent || (isWrite && consumeOne(writesToDrop))) return neverAnswered()
        val response = handle(context, request)
        return if (isWrite && consumeOne(repliesToLose)) neverAnswered() else response
    }

    private fun consumeOne(counter: AtomicInteger) = counter.getAndUpdate { maxOf(0, it - 1) } > 0

    private fun neverAnswered(): HttpResponse = HttpResponse.of(CompletableFuture<HttpResponse>())

    @Synchronized
    private fun row(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse {
        val key = "${context.pathParam("table")}/${context.pathParam("key")}"
        val row = rows[key]
        if (request.method().name == "GET") {
            return row?.let { rowResponse(it, request) } ?: HttpResponse.of(HttpStatus.NOT_FOUND)
        }
        val expected = request.headers().get(HttpHeaderNames.IF_MATCH)
        val conditionHolds = if (expected == null) row == null else row != null && tag(row) == expected
        if (!conditionHolds) return HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        val written = Row(request.contentUtf8(), (row?.version ?: 0) + 1)
        rows[key] = written
        return HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.ETAG, tag(written)))
    }

    @Synchronized
    private fun transaction(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse {
        transactions.incrementAndGet()
        val writes = Json.decodeFromString<TransactionBody>(request.contentUtf8()).writes
        val keys = writes.map { "${context.pathParam("table")}/${it.key}" }
        if (keys.any { rows.containsKey(it) }) return HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        keys.zip(writes).forEach { (key, write) -> rows[key] = Row(write.value.toString(), 1) }
        return HttpResponse.of(HttpStatus.OK)
    }

    private fun instances(request: AggregatedHttpRequest): HttpResponse {
        val body = Json.encodeToString(InstanceListBody(listed))
        return rowResponse(Row(body, body.hashCode()), request)
    }

    private fun rowResponse(row: Row, request: AggregatedHttpRequest): HttpResponse {
        if (request.headers().get(HttpHeaderNames.IF_NONE_MATCH) == tag(row)) {
            return HttpResponse.of(HttpStatus.NOT_MODIFIED)
        }
        val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
            .add(HttpHeaderNames.ETAG, tag(row)).build()
        return HttpResponse.of(headers, HttpData.ofUtf8(row.value))
    }

    private fun tag(row: Row) = "\"${row.version}\""

    private companion object {
        /** Reads are never held. */
        val READ_GATE: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
    }
}

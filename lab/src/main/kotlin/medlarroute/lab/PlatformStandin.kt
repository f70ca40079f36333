package medlarroute.lab

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.time.Duration.ZERO
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

/** Outage that the platform stand-in simulates. */
@Serializable
enum class PlatformOutage {
    /** No outage. */
    NONE,

    /** Each request is answered with 503 and has no effect. */
    ERROR,

    /** Connections stay open but nothing is answered; requests take effect once the outage ends. */
    HANG,

    /** Connections are reset as soon as they are opened. */
    DOWN,
}

/**
 * Fault switches of the platform stand-in. They can be changed at run time over its admin port.
 *
 * @property delayMs delay of each reply after the request has taken effect.
 * @property lostReplyShare share of the writes, from 0 to 1, that take effect and whose connection is then reset
 * without a reply.
 * @property listLagMs age of the served instance list.
 */
@Serializable
data class PlatformSwitches(
    val outage: PlatformOutage = PlatformOutage.NONE,
    val delayMs: Long = 0,
    val lostReplyShare: Double = 0.0,
    val listLagMs: Long = 0,
)

/**
 * Test double of the platform that implements the protocol of docs/platform-protocol.md: tables, objects and the
 * instance list.
 *
 * Admin requests: `GET|PUT /switches`, where a PUT sets the fields of [PlatformSwitches] that the JSON body contains;
 * `PUT /instances/{id}` with a [PlatformInstance], `DELETE /instances/{id}` and `GET /instances` (without lag);
 * `GET /counters`.
 *
 * @param port 0 selects any free port.
 * @param seed seed of the random selection of lost replies.
 */
class PlatformStandin(
    instances: List<PlatformInstance> = emptyList(),
    port: Int = 0,
    adminPort: Int = 0,
    switches: PlatformSwitches = PlatformSwitches(),
    seed: Long = 1,
) : AutoCloseable {
    @Serializable
    private class Transaction(val writes: List<PlatformWrite>)

    @Serializable
    private class TransactionReply(val etags: List<String>)

    @Serializable
    private class Counters(val reads: Long, val writes: Long, val lostReplies: Long)

    private class StoredObject(val content: ByteArray, val etag: String)

    private val faults = ConnectionFaultInjector()
    private val tables = PlatformTables()
    private val instanceList = LaggedInstanceList(instances)
    private val objects = ConcurrentHashMap<String, StoredObject>()
    private val random = Random(seed)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val lostReplies = AtomicLong()

    /** The current fault switches; replaced by [applySwitches]. */
    @Volatile
    var switches: PlatformSwitches = switches
        private set

    private val server = serverBuilder(port)
        .childChannelPipelineCustomizer { faults.install(it) }
        .idleTimeout(ZERO)
        .requestTimeout(ZERO)
        .serviceUnder("/v1") { context, request ->
            HttpResponse.of(request.aggregate().thenCompose { serve(context, it) })
        }
        .build()

    private val admin = serverBuilder(adminPort)
        .serviceUnder("/") { context, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    badRequestIfMalformed { handleAdmin(context.method(), pathSegments(context), it) }
                },
            )
        }
        .build()

    /** The port of the service; available after [start]. */
    val port: Int get() = server.activeLocalPort()

    /** The port for admin requests; available after [start]. */
    val adminPort: Int get() = admin.activeLocalPort()

    fun start(): PlatformStandin {
        server.start().join()
        admin.start().join()
        applySwitches(switches)
        return this
    }

    /** Replaces the fault switches. */
    fun applySwitches(changed: PlatformSwitches) {
        switches = changed
        faults.stalled = changed.outage == PlatformOutage.HANG
        faults.closed = changed.outage == PlatformOutage.DOWN
        if (faults.closed) faults.resetAll()
    }

    /** Adds or replaces an entry of the instance list. */
    fun put(instance: PlatformInstance): Unit = instanceList.put(instance)

    /** Stops the servers without waiting for their threads to terminate, which takes 2 s. */
    override fun close() {
        server.stop()
        admin.stop()
    }

    private fun serverBuilder(port: Int): ServerBuilder =
        Server.builder().http(InetSocketAddress("127.0.0.1", port)).gracefulShutdownTimeout(ZERO, ZERO)

    private fun serve(context: ServiceRequestContext, request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val active = switches
        if (active.outage == PlatformOutage.ERROR) {
            return CompletableFuture.completedFuture(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE))
        }
        val isWrite = request.method() != HttpMethod.GET
        (if (isWrite) writes else reads).incrementAndGet()
        val response = badRequestIfMalformed { route(request, pathSegments(context).drop(1)) }
        if (isWrite && isReplyLost(active.lostReplyShare)) {
            lostReplies.incrementAndGet()
            faults.reset(context.remoteAddress())
            return CompletableFuture()
        }
        if (active.delayMs == 0L) return CompletableFuture.completedFuture(response)
        return CompletableFuture.completedFuture(
            HttpResponse.delayed(response, active.delayMs.milliseconds.toJavaDuration(), context.eventLoop()),
        )
    }

    private fun isReplyLost(share: Double): Boolean =
        share > 0 && synchronized(random) { random.nextDouble() } < share

    private fun pathSegments(context: ServiceRequestContext): List<String> =
        context.path().split('/').filter { it.isNotEmpty() }.map { URLDecoder.decode(it, Charsets.UTF_8) }

    private inline fun badRequestIfMalformed(action: () -> HttpResponse): HttpResponse =
        try {
            action()
        } catch (malformed: IllegalArgumentException) {
            HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, malformed.message.orEmpty())
        }

    private fun route(request: AggregatedHttpRequest, path: List<String>): HttpResponse {
        val kind = path.firstOrNull()
        return when {
            kind == "tables" && path.size == ROW_PATH_LENGTH && path[2] == "rows" ->
                handleRow(request, path[1], path.last())

            kind == "tables" && path.size == TRANSACTION_PATH_LENGTH && path[2] == "transactions" ->
                handleTransaction(request, path[1])

            kind == "objects" && path.size == 2 -> handleObject(request, path[1])

            kind == "instances" && path.size == 1 -> handleInstanceList(request)

            else -> HttpResponse.of(HttpStatus.NOT_FOUND)
        }
    }

    private fun handleRow(request: AggregatedHttpRequest, table: String, key: String): HttpResponse {
        val ifMatch = request.headers().get(HttpHeaderNames.IF_MATCH)
        val ifNoneMatch = request.headers().get(HttpHeaderNames.IF_NONE_MATCH)
        return when (request.method()) {
            HttpMethod.GET -> {
                val row = tables.read(table, key) ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
                if (row.etag == ifNoneMatch) {
                    withEtag(HttpStatus.NOT_MODIFIED, row.etag)
                } else {
                    withEtag(HttpStatus.OK, row.etag, row.value)
                }
            }

            HttpMethod.PUT -> {
                val value = labJson.parseToJsonElement(request.contentUtf8())
                writeResult(tables.write(table, listOf(PlatformWrite(key, value, ifMatch, ifNoneMatch))))
            }

            HttpMethod.DELETE ->
                writeResult(tables.write(table, listOf(PlatformWrite(key, null, ifMatch, ifNoneMatch))))

            else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        }
    }

    private fun writeResult(etags: List<String>?): HttpResponse =
        if (etags == null) {
            HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        } else {
            withEtag(HttpStatus.NO_CONTENT, etags.single())
        }

    private fun handleTransaction(request: AggregatedHttpRequest, table: String): HttpResponse {
        if (request.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        val transaction = labJson.decodeFromString<Transaction>(request.contentUtf8())
        val etags = tables.write(table, transaction.writes) ?: return HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        return jsonResponse(TransactionReply(etags))
    }

    private fun handleObject(request: AggregatedHttpRequest, name: String): HttpResponse =
        when (request.method()) {
            HttpMethod.GET -> objects[name]?.let { withEtag(HttpStatus.OK, it.etag, HttpData.wrap(it.content)) }
                ?: HttpResponse.of(HttpStatus.NOT_FOUND)

            HttpMethod.PUT -> {
                val stored = StoredObject(request.content().array(), "\"o${writes.get()}\"")
                objects[name] = stored
                withEtag(HttpStatus.NO_CONTENT, stored.etag)
            }

            else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        }

    private fun handleInstanceList(request: AggregatedHttpRequest): HttpResponse {
        val version = instanceList.read(switches.listLagMs.milliseconds)
        if (request.headers().get(HttpHeaderNames.IF_NONE_MATCH) == version.etag) {
            return withEtag(HttpStatus.NOT_MODIFIED, version.etag)
        }
        val body = labJson.encodeToJsonElement(PlatformInstances.serializer(), PlatformInstances(version.instances))
        return withEtag(HttpStatus.OK, version.etag, body)
    }

    private fun withEtag(status: HttpStatus, etag: String): HttpResponse =
        HttpResponse.of(
            ResponseHeaders.builder(status).apply {
                if (etag.isNotEmpty()) set(HttpHeaderNames.ETAG, etag)
            }.build(),
        )

    private fun withEtag(status: HttpStatus, etag: String, body: JsonElement): HttpResponse =
        withEtag(status, etag, HttpData.ofUtf8(body.toString()), MediaType.JSON)

    private fun withEtag(
        status: HttpStatus,
        etag: String,
        body: HttpData,
        type: MediaType = MediaType.OCTET_STREAM,
    ): HttpResponse =
        HttpResponse.of(ResponseHeaders.builder(status).contentType(type).set(HttpHeaderNames.ETAG, etag).build(), body)

    private fun handleAdmin(method: HttpMethod, path: List<String>, request: AggregatedHttpRequest): HttpResponse =
        when (path.firstOrNull()) {
            "switches" -> {
                if (method == HttpMethod.PUT) applySwitches(mergePatch(switches, request.contentUtf8()))
                jsonResponse(switches)
            }

            "instances" -> handleAdminInstances(method, path.getOrNull(1), request)

            "counters" -> jsonResponse(Counters(reads.get(), writes.get(), lostReplies.get()))

            else -> HttpResponse.of(HttpStatus.NOT_FOUND)
        }

    private fun handleAdminInstances(method: HttpMethod, id: String?, request: AggregatedHttpRequest): HttpResponse {
        if (method == HttpMethod.PUT) {
            instanceList.put(labJson.decodeFromString<PlatformInstance>(request.contentUtf8()))
        }
        if (method == HttpMethod.DELETE && id != null) instanceList.remove(id)
        return jsonResponse(PlatformInstances(instanceList.current()))
    }

    private companion object {
        const val ROW_PATH_LENGTH = 4
        const val TRANSACTION_PATH_LENGTH = 3
    }
}

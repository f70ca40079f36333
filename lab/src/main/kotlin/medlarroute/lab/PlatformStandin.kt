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

/** How the platform stand-in is out of order. */
@Serializable
enum class PlatformOutage {
    /** It works. */
    NONE,

    /** Each request gets 503 and has no effect. */
    ERROR,

    /** Connections stay open and nothing is answered; requests take effect once the outage ends. */
    HANG,

    /** Connections are closed as soon as they are opened. */
    DOWN,
}

/**
 * How the platform stand-in behaves from now on. Changed at run time over its admin port.
 *
 * @property delayMs time that each reply is held back, after the request has taken effect.
 * @property lostReplyShare share of the writes, from 0 to 1, that take effect and whose connection is then closed
 * without a reply.
 * @property listLagMs age of the list of instances that is served.
 */
@Serializable
data class PlatformSwitches(
    val outage: PlatformOutage = PlatformOutage.NONE,
    val delayMs: Long = 0,
    val lostReplyShare: Double = 0.0,
    val listLagMs: Long = 0,
)

/**
 * Test double of the platform, after docs/platform-protocol.md: tables, objects and the list of instances.
 *
 * Admin requests: `GET|PUT /switches`, where a PUT changes the fields of [PlatformSwitches] that its JSON body names;
 * `PUT /instances/{id}` with a [PlatformInstance], `DELETE /instances/{id}` and `GET /instances` (without lag);
 * `GET /counters`.
 *
 * @param port 0: any free port.
 * @param seed of the choice of lost replies.
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

    private val gate = ConnectionGate()
    private val tables = PlatformTables()
    private val list = InstanceListStandin(instances)
    private val objects = ConcurrentHashMap<String, StoredObject>()
    private val random = Random(seed)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val lostReplies = AtomicLong()

    /** How the stand-in behaves; set with [change]. */
    @Volatile
    var switches: PlatformSwitches = switches
        private set

    private val server = builder(port)
        .childChannelPipelineCustomizer { gate.install(it) }
        .idleTimeout(ZERO)
        .requestTimeout(ZERO)
        .serviceUnder("/v1") { context, request ->
            HttpResponse.of(request.aggregate().thenCompose { serve(context, it) })
        }
        .build()

    private val admin = builder(adminPort)
        .serviceUnder("/") { context, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    guarded { administer(context.method(), segments(context), it) }
                },
            )
        }
        .build()

    /** The port of the service, once started. */
    val port: Int get() = server.activeLocalPort()

    /** The port for admin requests, once started. */
    val adminPort: Int get() = admin.activeLocalPort()

    fun start(): PlatformStandin {
        server.start().join()
        admin.start().join()
        change(switches)
        return this
    }

    /** Puts new switches in force. */
    fun change(changed: PlatformSwitches) {
        switches = changed
        gate.paused = changed.outage == PlatformOutage.HANG
        gate.closed = changed.outage == PlatformOutage.DOWN
        if (gate.closed) gate.resetAll()
    }

    /** Adds or replaces an entry of the list of instances. */
    fun put(instance: PlatformInstance): Unit = list.put(instance)

    /** Does not wait for the threads of the servers to end, which takes 2 s. */
    override fun close() {
        server.stop()
        admin.stop()
    }

    private fun builder(port: Int): ServerBuilder =
        Server.builder().http(InetSocketAddress("127.0.0.1", port)).gracefulShutdownTimeout(ZERO, ZERO)

    private fun serve(context: ServiceRequestContext, request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val now = switches
        if (now.outage == PlatformOutage.ERROR) {
            return CompletableFuture.completedFuture(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE))
        }
        val isWrite = request.method() != HttpMethod.GET
        (if (isWrite) writes else reads).incrementAndGet()
        val response = guarded { route(request, segments(context).drop(1)) }
        if (isWrite && now.lostReplyShare > 0 && synchronized(random) { random.nextDouble() } < now.lostReplyShare) {
            lostReplies.incrementAndGet()
            gate.reset(context.remoteAddress())
            return CompletableFuture()
        }
        if (now.delayMs == 0L) return CompletableFuture.completedFuture(response)
        return CompletableFuture.completedFuture(
            HttpResponse.delayed(response, now.delayMs.milliseconds.toJavaDuration(), context.eventLoop()),
        )
    }

    private fun segments(context: ServiceRequestContext): List<String> =
        context.path().split('/').filter { it.isNotEmpty() }.map { URLDecoder.decode(it, Charsets.UTF_8) }

    private inline fun guarded(action: () -> HttpResponse): HttpResponse =
        try {
            action()
        } catch (malformed: IllegalArgumentException) {
            HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, malformed.message.orEmpty())
        }

    private fun route(request: AggregatedHttpRequest, path: List<String>): HttpResponse {
        val kind = path.firstOrNull()
        return when {
            kind == "tables" && path.size == ROW_PATH_LENGTH && path[2] == "rows" -> row(request, path[1], path.last())

            kind == "tables" && path.size == TRANSACTION_PATH_LENGTH && path[2] == "transactions" -> transact(
                request,
                path[1],
            )

            kind == "objects" && path.size == 2 -> storedObject(request, path[1])

            kind == "instances" && path.size == 1 -> instances(request)

            else -> HttpResponse.of(HttpStatus.NOT_FOUND)
        }
    }

    private fun row(request: AggregatedHttpRequest, table: String, key: String): HttpResponse {
        val ifMatch = request.headers().get(HttpHeaderNames.IF_MATCH)
        val ifNoneMatch = request.headers().get(HttpHeaderNames.IF_NONE_MATCH)
        return when (request.method()) {
            HttpMethod.GET -> {
                val row = tables.read(table, key) ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
                if (row.etag ==
                    ifNoneMatch
                ) {
                    tagged(HttpStatus.NOT_MODIFIED, row.etag)
                } else {
                    tagged(HttpStatus.OK, row.etag, row.value)
                }
            }

            HttpMethod.PUT -> {
                val value = labJson.parseToJsonElement(request.contentUtf8())
                written(tables.write(table, listOf(PlatformWrite(key, value, ifMatch, ifNoneMatch))))
            }

            HttpMethod.DELETE -> written(tables.write(table, listOf(PlatformWrite(key, null, ifMatch, ifNoneMatch))))

            else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        }
    }

    private fun written(etags: List<String>?): HttpResponse =
        if (etags ==
            null
        ) {
            HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        } else {
            tagged(HttpStatus.NO_CONTENT, etags.single())
        }

    private fun transact(request: AggregatedHttpRequest, table: String): HttpResponse {
        if (request.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        val transaction = labJson.decodeFromString<Transaction>(request.contentUtf8())
        val etags = tables.write(table, transaction.writes) ?: return HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
        return jsonResponse(TransactionReply(etags))
    }

    private fun storedObject(request: AggregatedHttpRequest, name: String): HttpResponse =
        when (request.method()) {
            HttpMethod.GET -> objects[name]?.let { tagged(HttpStatus.OK, it.etag, HttpData.wrap(it.content)) }
                ?: HttpResponse.of(HttpStatus.NOT_FOUND)

            HttpMethod.PUT -> {
                val stored = StoredObject(request.content().array(), "\"o${writes.get()}\"")
                objects[name] = stored
                tagged(HttpStatus.NO_CONTENT, stored.etag)
            }

            else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        }

    private fun instances(request: AggregatedHttpRequest): HttpResponse {
        val version = list.read(switches.listLagMs.milliseconds)
        if (request.headers().get(HttpHeaderNames.IF_NONE_MATCH) == version.etag) {
            return tagged(HttpStatus.NOT_MODIFIED, version.etag)
        }
        val body = labJson.encodeToJsonElement(PlatformInstances.serializer(), PlatformInstances(version.instances))
        return tagged(HttpStatus.OK, version.etag, body)
    }

    private fun tagged(status: HttpStatus, etag: String): HttpResponse =
        HttpResponse.of(
            ResponseHeaders.builder(status).apply {
                if (etag.isNotEmpty()) set(HttpHeaderNames.ETAG, etag)
            }.build(),
        )

    private fun tagged(status: HttpStatus, etag: String, body: JsonElement): HttpResponse =
        tagged(status, etag, HttpData.ofUtf8(body.toString()), MediaType.JSON)

    private fun tagged(
        status: HttpStatus,
        etag: String,
        body: HttpData,
        type: MediaType = MediaType.OCTET_STREAM,
    ): HttpResponse =
        HttpResponse.of(ResponseHeaders.builder(status).contentType(type).set(HttpHeaderNames.ETAG, etag).build(), body)

    private fun administer(method: HttpMethod, path: List<String>, request: AggregatedHttpRequest): HttpResponse =
        when (path.firstOrNull()) {
            "switches" -> {
                if (method == HttpMethod.PUT) change(patched(switches, request.contentUtf8()))
                jsonResponse(switches)
            }

            "instances" -> administerInstances(method, path.getOrNull(1), request)

            "counters" -> jsonResponse(Counters(reads.get(), writes.get(), lostReplies.get()))

            else -> HttpResponse.of(HttpStatus.NOT_FOUND)
        }

    private fun administerInstances(method: HttpMethod, id: String?, request: AggregatedHttpRequest): HttpResponse {
        if (method == HttpMethod.PUT) list.put(labJson.decodeFromString<PlatformInstance>(request.contentUtf8()))
        if (method == HttpMethod.DELETE && id != null) list.remove(id)
        return jsonResponse(PlatformInstances(list.current()))
    }

    private companion object {
        const val ROW_PATH_LENGTH = 4
        const val TRANSACTION_PATH_LENGTH = 3
    }
}

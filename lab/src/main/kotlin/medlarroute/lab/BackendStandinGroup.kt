package medlarroute.lab

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import kotlinx.serialization.Serializable
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds

/**
 * Several backend stand-ins in one process with a shared admin port.
 *
 * Admin requests: `GET /backends` lists them; `PUT /backends/{id}/switches` sets the fields of [BackendSwitches] that
 * the JSON body contains; `POST /backends/{id}/silence` calls [BackendStandin.silence] and
 * `POST /backends/{id}/crash?downMs=N` calls [BackendStandin.crash]. The id `all` selects all stand-ins of the process.
 */
class BackendStandinGroup(
    settings: List<BackendStandinSettings>,
    private val startLog: StartLog? = null,
    adminPort: Int = 0,
) : AutoCloseable {
    @Serializable
    private class Status(
        val id: String,
        val port: Int,
        val busySlots: Int,
        val openConnections: Int,
        val switches: BackendSwitches,
    )

    private val timer =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "standin-timer").apply { isDaemon = true }
        }

    /** The stand-ins, in the order of their settings. */
    val standins: List<BackendStandin> = settings.map { BackendStandin(it, timer, startLog) }

    private val admin = Server.builder()
        .http(InetSocketAddress("127.0.0.1", adminPort))
        .gracefulShutdownTimeout(java.time.Duration.ZERO, java.time.Duration.ZERO)
        .serviceUnder("/") { context, request ->
            val path = context.decodedPath().split('/').filter { it.isNotEmpty() }
            val downMs = context.queryParams().getLong("downMs", 0)
            HttpResponse.of(request.aggregate().thenApply { handle(context.method(), path, it.contentUtf8(), downMs) })
        }
        .build()

    /** The port for admin requests; available after [start]. */
    val adminPort: Int get() = admin.activeLocalPort()

    fun start(): BackendStandinGroup {
        standins.forEach { it.start() }
        admin.start().join()
        return this
    }

    override fun close() {
        admin.stop()
        standins.forEach { it.close() }
        timer.shutdownNow()
        startLog?.close()
    }

    private fun handle(method: HttpMethod, path: List<String>, body: String, downMs: Long): HttpResponse {
        if (path.firstOrNull() != "backends") return HttpResponse.of(HttpStatus.NOT_FOUND)
        if (path.size == 1 && method == HttpMethod.GET) return jsonResponse(standins.map { status(it) })
        val selected = standins.filter { path.getOrNull(1) == "all" || path.getOrNull(1) == it.id }
        if (selected.isEmpty()) return HttpResponse.of(HttpStatus.NOT_FOUND)
        when (path.getOrNull(2)) {
            "switches" -> return applySwitches(selected, body)
            "silence" -> selected.forEach { it.silence() }
            "crash" -> selected.forEach { it.crash(downMs.milliseconds) }
            else -> return HttpResponse.of(HttpStatus.NOT_FOUND)
        }
        return jsonResponse(selected.map { status(it) })
    }

    private fun applySwitches(selected: List<BackendStandin>, body: String): HttpResponse =
        try {
            selected.forEach { it.applySwitches(mergePatch(it.switches, body)) }
            jsonResponse(selected.map { status(it) })
        } catch (malformed: IllegalArgumentException) {
            HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, malformed.message.orEmpty())
        }

    private fun status(standin: BackendStandin) =
        Status(standin.id, standin.port, standin.busySlots, standin.openConnections, standin.switches)
}

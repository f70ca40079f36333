package medlarroute.server

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.prometheus.PrometheusExpositionService
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** State of an instance as shown to operators. */
@Serializable
internal data class InstanceStatus(
    val instance: String,
    val failureDomain: String,
    val incarnation: String,
    val state: InstanceState,
    val notReady: List<String>,
    val rulesVersion: Long?,
    val openJobs: Int,
    val inboxDepth: Int,
    val backends: List<BackendStatus>,
    val replayedHomes: List<String>,
    val peers: JsonObject,
)

/** A backend server known to this instance. */
@Serializable
internal data class BackendStatus(val id: String, val failureDomain: String, val slots: Int, val leaving: Boolean)

/** Lifecycle state of an instance. */
@Serializable
internal enum class InstanceState { STARTING, SERVING, DRAINING, STOPPED }

/**
 * The HTTP API for operators, on its own port.
 *
 * @property isAlive liveness check; false means that the process needs a restart.
 */
internal class OperatorApi(
    private val meters: PrometheusMeterRegistry,
    private val isAlive: () -> Boolean,
    private val status: () -> InstanceStatus,
    private val addServices: (ServerBuilder) -> Unit,
) {
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    private data class Readiness(@EncodeDefault val ready: Boolean, val reasons: List<String>)

    /** Adds the routes of the API and the services of [addServices] to [server]. */
    fun addTo(server: ServerBuilder) {
        server.service("/healthz") { _, _ -> text(if (isAlive()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE) }
        server.service("/readyz") { _, _ -> readiness() }
        server.service("/v1/status") { _, _ -> json(HttpStatus.OK, Json.encodeToString(status())) }
        server.service("/metrics", PrometheusExpositionService.of(meters.prometheusRegistry))
        addServices(server)
    }

    private fun readiness(): HttpResponse {
        val reasons = status().notReady
        val httpStatus = if (reasons.isEmpty()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        return json(httpStatus, Json.encodeToString(Readiness(reasons.isEmpty(), reasons)))
    }

    private fun text(status: HttpStatus): HttpResponse =
        HttpResponse.of(status, MediaType.PLAIN_TEXT_UTF_8, HttpData.ofUtf8("${status.reasonPhrase()}\n"))

    private fun json(status: HttpStatus, body: String): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, HttpData.ofUtf8(body))
}

package medlarroute.server

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import medlarroute.core.PeerState
import java.util.concurrent.CompletableFuture

/** Body of `GET /v1/rules`. */
@Serializable
internal data class RulesBody(val version: Long, val text: String)

/** Body of `PUT /v1/rules`. [expectedVersion] is the version that the operator edited; 0 if there was none. */
@Serializable
internal data class ApplyRulesBody(val expectedVersion: Long, val text: String)

/** Reply to `PUT /v1/rules`; [status] is `accepted`, `conflict`, `invalid`, `unavailable` or `unknown`. */
@Serializable
internal data class ApplyRulesReply(
    val status: String,
    val version: Long? = null,
    val text: String? = null,
    val findings: List<RulesFindingBody> = emptyList(),
    val detail: String? = null,
)

/** One error in a rules text. */
@Serializable
internal data class RulesFindingBody(val line: Int, val message: String)

/** Body of `GET /v1/rules/status`. */
@Serializable
internal data class RulesStatusBody(val instances: List<RulesStatusEntry>)

/** The version that an instance reported at its last contact; null if there was no contact. */
@Serializable
internal data class RulesStatusEntry(
    val instance: String,
    val failureDomain: String,
    val version: Long?,
    val reachable: Boolean,
    val sinceContactMs: Long?,
)

/** HTTP service for operators: `GET` and `PUT /v1/rules`, and `GET /v1/rules/status`. */
internal class RulesService(
    private val sync: RulesSync,
    private val store: RulesStore,
    private val members: MemberTable,
) {
    /** Adds the routes to the operators' server. */
    fun addTo(server: ServerBuilder) {
        server.route().get("/v1/rules").build { _, _ -> get() }
        server.route().put("/v1/rules").build { _, request ->
            HttpResponse.of(request.aggregate().thenCompose { put(it) })
        }
        server.route().methods(HttpMethod.GET).path("/v1/rules/status").build { _, _ -> json(HttpStatus.OK, status()) }
    }

    /** The rules version of each instance, this one first. */
    fun status(): RulesStatusBody {
        val self = members.self
        val own = RulesStatusEntry(self.instance.value, self.failureDomain.value, sync.version, true, 0)
        return RulesStatusBody(listOf(own) + members.peers().map(::entry))
    }

    private fun entry(peer: PeerState) = RulesStatusEntry(
        peer.member.instance.value,
        peer.member.failureDomain.value,
        peer.rulesVersion,
        peer.reachable,
        peer.sinceContact?.inWholeMilliseconds,
    )

    private fun get(): HttpResponse {
        val current = sync.current ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
        return json(HttpStatus.OK, RulesBody(current.version, current.text))
    }

    private fun put(request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val body = try {
            Json.decodeFromString<ApplyRulesBody>(request.contentUtf8())
        } catch (e: SerializationException) {
            val reply = ApplyRulesReply("invalid", detail = "malformed body: ${e.message}")
            return CompletableFuture.completedFuture(json(HttpStatus.BAD_REQUEST, reply))
        }
        return store.apply(body.text, body.expectedVersion).thenApply(::reply)
    }

    private fun reply(applied: ApplyRulesResult): HttpResponse = when (applied) {
        is ApplyRulesResult.Accepted -> json(HttpStatus.OK, ApplyRulesReply("accepted", applied.version))

        is ApplyRulesResult.Conflict ->
            json(HttpStatus.CONFLICT, ApplyRulesReply("conflict", applied.winner.version, applied.winner.text))

        is ApplyRulesResult.Invalid -> {
            val findings = applied.findings.map { RulesFindingBody(it.line, it.message) }
            json(HttpStatus.UNPROCESSABLE_ENTITY, ApplyRulesReply("invalid", findings = findings))
        }

        is ApplyRulesResult.Unavailable ->
            json(HttpStatus.SERVICE_UNAVAILABLE, ApplyRulesReply("unavailable", detail = applied.reason))

        is ApplyRulesResult.UnknownOutcome ->
            json(HttpStatus.GATEWAY_TIMEOUT, ApplyRulesReply("unknown", applied.version, detail = applied.nonce))
    }

    private inline fun <reified T> json(status: HttpStatus, body: T): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, HttpData.ofUtf8(Json.encodeToString(body)))
}

package medlarroute.server

import arrow.core.Either
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.PeerState
import medlarroute.core.RegistryExport
import medlarroute.core.Rules
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.RulesReader
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/** Connects an entry instance to its peers and the platform. */
internal class PeerExtension(parts: InstanceParts) : Extension {
    @Volatile
    private var rules = Rules()

    private val network = PeerNetwork(
        parts.settings,
        parts.identity,
        inputs = { input ->
            if (input is Input.RulesChanged) rules = input.rules
            parts.engine.offer(input)
        },
        parts.home,
        parts.successors,
        PARSER,
        ReplyJson::failure,
    )

    override val forwarder: RequestForwarder = network.forwarder
    override val claims: ClaimHandler =
        KeyedJobs(parts.registry, network.claims, parts.settings.registry.retentionMs.milliseconds, forwarder)
    override val addresses: BackendAddresses = network.backendAddresses

    override fun addOperatorServices(server: ServerBuilder): Unit = network.rules.addTo(server)

    override fun start(): Unit = network.start()

    override fun obstacles(): List<String> = emptyList()

    override fun status(): JsonObject =
        buildJsonObject {
            put("rulesVersion", network.rulesVersion)
            put("members", JsonArray(network.peers().map(::peer)))
        }

    private fun peer(peer: PeerState): JsonObject =
        buildJsonObject {
            put("instance", peer.member.instance.value)
            put("failureDomain", peer.member.failureDomain.value)
            put("incarnation", peer.member.incarnation.toString())
            put("reachable", peer.reachable)
            put("rulesVersion", peer.rulesVersion)
        }

    override fun jobSubmitted(job: Job): Unit = network.demanded(rules.teamOf(job.caller), job.tasks.size)

    override fun backendReplied(reply: BackendReply): Unit =
        network.backendContact(reply.backend, reply.incarnation, reply.isLeaving)

    override fun drainBegun(): Unit = network.leave()

    override fun handOver(records: RegistryExport): CompletableFuture<Boolean> =
        network.handOver(records).handle { successor, _ -> successor != null }

    override fun stop(): Unit = network.close()

    private companion object {
        val PARSER = RulesParser { text ->
            when (val read = RulesReader.read(text, version = 0)) {
                is Either.Left -> Either.Left(read.value.map { RulesFinding(it.line, "${it.column}: ${it.message}") })
                is Either.Right -> read
            }
        }
    }
}

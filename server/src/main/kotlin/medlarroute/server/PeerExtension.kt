package medlarroute.server

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.RegistryExport
import medlarroute.core.Rules
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.RulesReader
import medlarroute.core.TeamId
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/** Connects an entry instance to its peers and the platform by a [PeerNetwork]. */
internal class PeerExtension(parts: InstanceParts) : Extension {
    @Volatile
    private var rules: Rules? = null

    private val inputs = InputSink { input ->
        if (input is Input.RulesChanged) rules = input.rules
        parts.engine.offer(input)
    }
    private val network =
        PeerNetwork(parts.settings, parts.identity, inputs, parts.home, parts.successors, parser, ReplyJson::failure)

    override val forwarder: RequestForwarder = network.forwarder
    override val claims: ClaimHandler = KeyedJobs(
        parts.identity,
        parts.registry,
        parts.home,
        forwarder,
        network.claims::claim,
        ticketLife = parts.settings.registry.retentionMs.milliseconds / 2,
    )
    override val addresses: BackendAddresses = network.backendAddresses

    /** Port that serves the peers; known after [start]. */
    val peerPort: Int get() = network.peerPort

    override fun addOperatorServices(server: ServerBuilder): Unit = network.rules.addTo(server)

    override fun start(): Unit = network.start()

    override fun obstacles(): List<String> = emptyList()

    override fun status(): JsonObject = Json.encodeToJsonElement(network.rules.status()).jsonObject

    override fun jobSubmitted(job: Job) {
        val team = rules?.teamOf(job.caller) ?: TeamId(job.caller.value)
        network.demanded(team, job.tasks.size)
    }

    override fun backendReplied(reply: BackendReply): Unit =
        network.backendContact(reply.backend, reply.incarnation, reply.isLeaving)

    override fun drainBegun(): Unit = network.leave()

    override fun handOver(records: RegistryExport): CompletableFuture<Boolean> =
        network.handOver(records).handle { successor, cause ->
            if (cause != null) log.error("peer: the records could not be handed over", cause)
            successor != null
        }

    override fun stop(): Unit = network.close()

    private companion object {
        val log = LogManager.getLogger(PeerExtension::class.java)
        val parser = RulesParser { text ->
            RulesReader.read(text, version = 0)
                .mapLeft { findings -> findings.map { RulesFinding(it.line, it.message) } }
        }
    }
}

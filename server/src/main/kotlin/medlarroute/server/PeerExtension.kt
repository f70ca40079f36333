package medlarroute.server

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.RegistryExport
import medlarroute.core.Rules
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.RulesReader
import medlarroute.core.Settings
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/** An entry instance that takes rules and backend servers from the platform and knows its peers. */
public fun connectedInstance(settings: Settings): EntryInstance =
    EntryInstance(settings, Incarnation(System.currentTimeMillis()), ::PeerExtension)

/** Connects an entry instance to its peers and the platform through a [PeerNetwork]. */
internal class PeerExtension(private val parts: InstanceParts) : Extension {
    /** Null before the first rules; then the caller's team is not known and its demand is not counted. */
    @Volatile
    private var rules: Rules? = null

    private val network = PeerNetwork(
        parts.settings,
        parts.identity,
        ::pass,
        parts.home,
        parts.successors,
        parser,
        ReplyJson::failure,
    )

    override val forwarder: RequestForwarder get() = network.forwarder
    override val addresses: BackendAddresses get() = network.backendAddresses
    override val claims: ClaimHandler =
        ClaimedJobs(
            network.claims,
            parts.registry,
            parts.home,
            network.forwarder,
            parts.settings.registry.retentionMs.milliseconds,
            isHome = { it.home == parts.identity },
        )

    override fun addOperatorServices(server: ServerBuilder): Unit = network.rules.addTo(server)

    override fun start(): Unit = network.start()

    override fun obstacles(): List<String> = emptyList()

    override fun status(): JsonObject = Json.encodeToJsonElement(network.rules.status()).jsonObject

    override fun jobSubmitted(job: Job) {
        rules?.let { network.demanded(it.teamOf(job.caller), job.tasks.size) }
    }

    override fun backendReplied(reply: BackendReply): Unit =
        network.backendContact(reply.backend, reply.incarnation, reply.isLeaving)

    override fun drainBegun(): Unit = network.leave()

    override fun handOver(records: RegistryExport): CompletableFuture<Boolean> =
        network.handOver(records).thenApply { it != null }.exceptionally { cause ->
            log.error("peer: the records could not be handed over", cause)
            false
        }

    override fun stop(): Unit = network.close()

    private fun pass(input: Input) {
        if (input is Input.RulesChanged) rules = input.rules
        parts.engine.offer(input)
    }

    internal companion object {
        private val log = LogManager.getLogger(PeerExtension::class.java)

        /** Reads rules texts; the version comes with the text and is set by its keeper. */
        val parser = RulesParser { text ->
            RulesReader.read(text, version = 0).mapLeft { findings ->
                findings.map { RulesFinding(it.line, "column ${it.column}: ${it.message}") }
            }
        }
    }
}

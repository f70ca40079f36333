package medlarroute.server

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import medlarroute.core.BackendId
import medlarroute.core.Job
import medlarroute.core.RegistryExport
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.RulesReader
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Connects an entry instance to its peers and the platform. */
internal class PeerExtension(parts: InstanceParts) : Extension {
    private val network = PeerNetwork(
        parts.settings,
        parts.identity,
        parts.engine,
        parts.home,
        parts.successors,
        parser,
        ReplyJson::failure,
    )
    private val servingIncarnations = ConcurrentHashMap<BackendId, Long>()

    override val forwarder: RequestForwarder get() = network.forwarder
    override val claims: ClaimHandler =
        ClaimedJobs(
            network.claims,
            parts.registry,
            network.forwarder,
            parts.settings.registry.retentionMs.milliseconds,
        )
    override val addresses: BackendAddresses get() = network.backendAddresses

    override fun addOperatorServices(server: ServerBuilder): Unit = network.rules.addTo(server)

    override fun start(): Unit = network.start()

    override fun notReadyReasons(): List<String> =
        if (network.isReplaced) listOf("another process has the name of this instance") else emptyList()

    override fun status(): JsonObject = buildJsonObject {
        put("peerPort", network.peerPort)
        putJsonArray("members") {
            network.peers().forEach { peer ->
                addJsonObject {
                    put("instance", peer.member.instance.value)
                    put("failureDomain", peer.member.failureDomain.value)
                    put("incarnation", peer.member.incarnation.toString())
                    put("state", if (peer.member.leaving) "leaving" else "live")
                    put("reachable", peer.reachable)
                    put("rulesVersion", peer.rulesVersion)
                }
            }
        }
        putJsonObject("shares") {
            network.shares().forEach { (team, startsPerSecond) -> put(team.value, startsPerSecond) }
        }
    }

    override fun jobSubmitted(job: Job): Unit = network.recordDemand(job.caller, job.tasks.size)

    /** Called for each reply, so it acquires the lock of the member table only for possible changes. */
    override fun backendReplied(reply: BackendReply) {
        if (!reply.isLeaving && servingIncarnations.put(reply.backend, reply.incarnation) == reply.incarnation) return
        network.backendReplied(reply.backend, reply.incarnation, reply.isLeaving)
    }

    override fun drainStarted(): Unit = network.announceLeaving()

    override fun handOver(records: RegistryExport): CompletableFuture<Boolean> =
        network.handOver(records).handle { successor, cause ->
            if (cause != null) log.error("peer: the hand-over failed", cause)
            successor != null
        }

    override fun stop(): Unit = network.close()

    companion object {
        private val log = LogManager.getLogger(PeerExtension::class.java)

        private val parser = RulesParser { text ->
            RulesReader.read(text, version = 0).mapLeft { findings ->
                findings.map { RulesFinding(it.line, "column ${it.column}: ${it.message}") }
            }
        }

        /** Null if the settings name neither the platform nor peers. */
        fun ofSettings(parts: InstanceParts): PeerExtension? {
            val isStandalone = parts.settings.platform.url.isEmpty() && parts.settings.peers.seeds.isEmpty()
            return if (isStandalone) null else PeerExtension(parts)
        }
    }
}

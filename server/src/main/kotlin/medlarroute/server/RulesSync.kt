package medlarroute.server

import medlarroute.core.EntryMember
import medlarroute.core.Input
import medlarroute.core.Rules
import medlarroute.core.RulesKeeper
import medlarroute.core.RulesOffer
import medlarroute.core.RulesRow
import medlarroute.core.RulesText
import medlarroute.peer.GetRulesRequest
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

/** The rules in force, for the exchange with peers. */
internal interface RulesState {
    val current: RulesText?

    val version: Long

    /** Called when [peer] reports that it has [version] in force. */
    fun versionAdvertised(version: Long, peer: EntryMember)
}

/** Receives each new version in force, in ascending order. */
internal fun interface RulesListener {
    fun rulesChanged(rules: Rules)
}

/** Brings committed rules into force on this instance, read from the platform's row or fetched from a peer. */
internal class RulesSync(
    private val keeper: RulesKeeper,
    private val platform: PlatformClient?,
    private val client: PeerClient,
    private val inputs: InputSink,
    private val listener: RulesListener,
) : RulesState {
    private var etag: String? = null
    private var fetching = false

    override val current: RulesText? @Synchronized get() = keeper.current

    override val version: Long @Synchronized get() = keeper.version

    /** Reads the row once; completes with true if the platform answered. */
    fun poll(): CompletableFuture<Boolean> {
        if (platform == null) return CompletableFuture.completedFuture(true)
        return platform.read(RULES_TABLE, RULES_KEY, RulesRow.serializer(), knownEtag()).thenApply { result ->
            result.fold({ pollFailed(it) }, { polled(it) })
        }
    }

    /** Brings [found] into force if it is newer than the version in force. */
    @Synchronized
    fun offer(found: RulesText): RulesOffer {
        val result = keeper.offer(found)
        when (result) {
            is RulesOffer.InForce -> {
                log.info("rules: version {} is in force", found.version)
                inputs.offer(Input.RulesChanged(result.rules))
                listener.rulesChanged(result.rules)
            }

            is RulesOffer.Unreadable ->
                log.error("rules: version {} is invalid: {}", found.version, result.findings)

            is RulesOffer.NotNewer -> Unit
        }
        return result
    }

    override fun versionAdvertised(version: Long, peer: EntryMember) {
        if (!beginFetch(version)) return
        val request = GetRulesRequest.newBuilder().setKnownVersion(this.version).build()
        client.getRules(PeerAddress(peer.host, peer.peerPort), request, FETCH_TIMEOUT).whenComplete { reply, cause ->
            endFetch()
            if (cause != null) log.warn("rules: fetching the rules from {} failed: {}", peer.instance, cause.message)
            if (reply != null && reply.version > 0) offer(RulesText(reply.version, reply.text))
        }
    }

    @Synchronized
    private fun knownEtag(): String? = etag

    @Synchronized
    private fun beginFetch(version: Long): Boolean {
        if (!keeper.versionAdvertised(version) || fetching) return false
        fetching = true
        return true
    }

    @Synchronized
    private fun endFetch() {
        fetching = false
    }

    private fun pollFailed(error: PlatformError): Boolean {
        log.debug("rules: the row could not be read: {}", error)
        return false
    }

    @Synchronized
    private fun polled(found: Fetched<RulesRow>): Boolean {
        if (found is Fetched.Present) {
            etag = found.etag
            offer(RulesText(found.value.version, found.value.text))
        }
        return true
    }

    companion object {
        const val RULES_TABLE: String = "rules"
        const val RULES_KEY: String = "current"
        private val FETCH_TIMEOUT = 2.seconds
        private val log = LogManager.getLogger(RulesSync::class.java)
    }
}

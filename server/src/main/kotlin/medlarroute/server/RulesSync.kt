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

/** The rules in force, as seen by the exchange with peers. */
internal interface RulesState {
    val current: RulesText?

    val version: Long

    /** [from] told that it has [version] in force. */
    fun heard(version: Long, from: EntryMember)
}

/** Told of each new version in force, in rising order. */
internal fun interface RulesListener {
    fun rulesChanged(rules: Rules)
}

/** Brings each committed version into force on this instance: from the platform's row, or from a peer that has it. */
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

    /** Reads the row once; completes with whether the platform answered. */
    fun poll(): CompletableFuture<Boolean> {
        if (platform == null) return CompletableFuture.completedFuture(true)
        return platform.read(RULES_TABLE, RULES_KEY, RulesRow.serializer(), knownEtag()).thenApply { result ->
            result.fold({ pollFailed(it) }, { polled(it) })
        }
    }

    /** Brings [found] into force unless a version as high is. */
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
                log.error("rules: version {} can't be read: {}", found.version, result.findings)

            is RulesOffer.NotNewer -> Unit
        }
        return result
    }

    override fun heard(version: Long, from: EntryMember) {
        if (!beginFetch(version)) return
        val request = GetRulesRequest.newBuilder().setKnownVersion(this.version).build()
        client.getRules(PeerAddress(from.host, from.peerPort), request, FETCH_TIMEOUT).whenComplete { reply, cause ->
            endFetch()
            if (cause != null) log.warn("rules: fetch from {} failed: {}", from.instance, cause.message)
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
        log.debug("rules: the row can't be read: {}", error)
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

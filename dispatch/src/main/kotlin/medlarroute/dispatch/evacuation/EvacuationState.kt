package medlarroute.dispatch.evacuation

import medlarroute.dispatch.ElapsedClock
import medlarroute.dispatch.EventLog
import kotlin.time.TimeSource

/**
 * The evacuated failure domains as this instance knows them, and which peers have to be told of them.
 *
 * Heartbeats carry the version only once this instance has known of an evacuation, so that a deployment without any
 * sends nothing more than before. A heartbeat without a version stands for the empty set, of whatever version.
 */
internal class EvacuationState(
    private val failureDomains: Collection<String>,
    clock: TimeSource.WithComparableMarks,
    private val log: EventLog,
) {
    private class Sent(val version: Long, val atMs: Long)

    private val elapsed = ElapsedClock(clock)
    private val sentTo = HashMap<String, Sent>()

    /** The set with the highest version; null until the first one is received. */
    var current: EvacuatedDomains? = null
        private set

    /** The evacuated failure domains of this deployment. */
    var active: Set<String> = emptySet()
        private set

    /** The version for heartbeats; 0 as long as this instance has only known the empty set. */
    var heartbeatVersion = 0L
        private set

    /** Takes over [next], which was received from [source], unless it is older. Returns whether it was taken over. */
    fun offer(next: EvacuatedDomains, source: String): Boolean {
        val known = current
        if (known != null && next.version <= known.version) return false
        current = next
        if (next.domains.isNotEmpty() || heartbeatVersion > 0) heartbeatVersion = next.version
        val unknown = next.domains - failureDomains.toSet()
        if (unknown.isNotEmpty() && unknown != known?.domains.orEmpty() - failureDomains.toSet()) {
            log.event("evacuation", "unknown-domain", "domains", unknown, "version", next.version, "from", source)
        }
        val before = active
        active = next.domains - unknown
        (active - before).forEach { logChange("begun", it, next.version, source) }
        (before - active).forEach { logChange("ended", it, next.version, source) }
        return true
    }

    private fun logChange(event: String, domain: String, version: Long, source: String) =
        log.event("evacuation", event, "failureDomain", domain, "version", version, "from", source)

    /**
     * Whether [peer], whose last heartbeat had [peerVersion], has to be sent [current] now. The answer is yes at most
     * once in [RESEND_MS] for one version, since instances of earlier versions of the program never report it.
     */
    fun shouldSend(peer: String, peerVersion: Long): Boolean {
        val set = current ?: return false
        val isBehind = if (peerVersion == 0L) set.domains.isNotEmpty() else peerVersion < set.version
        if (!isBehind) return false
        val nowMs = elapsed.nowMs()
        val sent = sentTo[peer]
        if (sent != null && sent.version == set.version && nowMs - sent.atMs < RESEND_MS) return false
        sentTo[peer] = Sent(set.version, nowMs)
        return true
    }

    /** What was sent to [peer] on an earlier connection may be lost. */
    fun onConnected(peer: String) {
        sentTo -= peer
    }

    private companion object {
        /** The longest interval between two heartbeats of a peer. */
        const val RESEND_MS = 1_000L
    }
}

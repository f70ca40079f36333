package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Backend servers that are known to be leaving, from replies, the list or peers.
 *
 * A notice applies to its incarnation and all lower ones and is never withdrawn for them.
 */
internal class LeavingBackends {
    private class Entry(val incarnation: Long, val since: Duration) {
        var sendCount = 0

        /** The list has shown this incarnation leaving, so a later "live" in the list is about a new incarnation. */
        var listed = false
    }

    private val entries = LinkedHashMap<BackendId, Entry>()

    /** When a list without incarnations showed a restart; older notices are about the earlier incarnation. */
    private val restartedAt = HashMap<BackendId, Duration>()

    fun isLeaving(id: BackendId, incarnation: Long): Boolean =
        entries[id]?.let { it.incarnation >= incarnation } ?: false

    /** Records that [id] is leaving; false if that was known. [since] is the time of the first observation. */
    fun add(id: BackendId, incarnation: Long, since: Duration, listed: Boolean = false): Boolean {
        val known = entries[id]
        if (known != null && known.incarnation >= incarnation) {
            known.listed = known.listed || listed
            return false
        }
        if (restartedAt[id]?.let { since <= it } == true) return false
        entries[id] = Entry(incarnation, since).also { it.listed = listed }
        return true
    }

    /** The list shows [id] as live; true if that ends a notice about an earlier incarnation. */
    fun listedLive(id: BackendId, incarnation: Long, now: Duration): Boolean {
        val known = entries[id] ?: return false
        if (incarnation > known.incarnation) return entries.remove(id) != null
        if (incarnation != 0L || !known.listed) return false
        restartedAt[id] = now
        return entries.remove(id) != null
    }

    /** The list no longer has [id]. */
    fun delisted(id: BackendId) {
        entries[id]?.listed = true
    }

    /** A reply shows [id] serving as [incarnation]; true if that ends a notice about an earlier incarnation. */
    fun repliedServing(id: BackendId, incarnation: Long): Boolean {
        val known = entries[id] ?: return false
        return incarnation > known.incarnation && entries.remove(id) != null
    }

    /** Notices to send, those sent least often first. Notices older than [MAX_SEND_AGE] are left to the list. */
    fun toSend(now: Duration): List<LeavingNotice> =
        entries.entries.filter { now - it.value.since < MAX_SEND_AGE }.sortedBy { it.value.sendCount }
            .map { (id, entry) -> LeavingNotice(id, entry.incarnation, now - entry.since) }

    fun markSent(id: BackendId) {
        entries[id]?.let { it.sendCount++ }
    }

    companion object {
        /** Longer than the normal lag of the list, and far longer than the few rounds that dissemination takes. */
        val MAX_SEND_AGE: Duration = 60.seconds
    }
}

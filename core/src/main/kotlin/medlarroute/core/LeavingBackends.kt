package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which backend servers are known to be leaving, whoever found out first.
 *
 * A notice holds for its incarnation and all lower ones and is never withdrawn for them.
 */
internal class LeavingBackends {
    private class Entry(val incarnation: Long, val since: Duration) {
        var sent = 0

        /** The list has told the same, so that a later "live" in the list is about a new process life. */
        var listed = false
    }

    private val entries = LinkedHashMap<BackendId, Entry>()

    /** When the list told of a new process life without an incarnation; older notices are about the earlier life. */
    private val renewedAt = HashMap<BackendId, Duration>()

    fun isLeaving(id: BackendId, incarnation: Long): Boolean =
        entries[id]?.let { it.incarnation >= incarnation } ?: false

    /** Notes that [id] leaves; false if that was known. [since] is the time of the first observation. */
    fun add(id: BackendId, incarnation: Long, since: Duration, listed: Boolean = false): Boolean {
        val known = entries[id]
        if (known != null && known.incarnation >= incarnation) {
            known.listed = known.listed || listed
            return false
        }
        if (renewedAt[id]?.let { since <= it } == true) return false
        entries[id] = Entry(incarnation, since).also { it.listed = listed }
        return true
    }

    /** The list tells that [id] is live; true if that ends a notice about an earlier process life. */
    fun listedLive(id: BackendId, incarnation: Long, now: Duration): Boolean {
        val known = entries[id] ?: return false
        if (incarnation > known.incarnation) return entries.remove(id) != null
        if (incarnation != 0L || !known.listed) return false
        renewedAt[id] = now
        return entries.remove(id) != null
    }

    /** The list no longer has [id]. */
    fun delisted(id: BackendId) {
        entries[id]?.listed = true
    }

    /** Direct contact shows [id] serving as [incarnation]; true if that ends a notice about an earlier process life. */
    fun contactedServing(id: BackendId, incarnation: Long): Boolean {
        val known = entries[id] ?: return false
        return incarnation > known.incarnation && entries.remove(id) != null
    }

    /** Notices to send, those sent least often first. Old ones are left to the list. */
    fun toSend(now: Duration): List<LeavingNotice> =
        entries.entries.filter { now - it.value.since < SEND_FOR }.sortedBy { it.value.sent }
            .map { (id, entry) -> LeavingNotice(id, entry.incarnation, now - entry.since) }

    fun sent(id: BackendId) {
        entries[id]?.let { it.sent++ }
    }

    companion object {
        /** Longer than the list lags in normal operation, and far beyond the few rounds that spreading takes. */
        val SEND_FOR: Duration = 60.seconds
    }
}

package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * The backend servers as the store lists them at [version]. Versions rise with each change of the store, so the later
 * one of two lists is the one with the higher version, whoever has read it.
 */
public data class BackendList(public val version: Long, public val backends: List<BackendInfo>)

/**
 * The backend servers that count as listed, from the lists that this instance and its peers read.
 *
 * Ignores lists that are older than the last one. Keeps what a list no longer contains for another [RETENTION_MS]: an
 * entry that expired during an outage of the store, or while the backend server was cut off, is written again within
 * two seconds. Until then, the backend server must not count as removed.
 */
internal class BackendListing(clock: TimeSource.WithComparableMarks) {
    private class Retained(val info: BackendInfo, val sinceMs: Long)

    private val elapsed = ElapsedClock(clock)
    private val retained = LinkedHashMap<String, Retained>()

    /** Version of the last list; 0 before the first. */
    var version = 0L
        private set
    private var listed: List<BackendInfo> = emptyList()

    /** The backend servers of the last list and the retained ones. */
    var backends: List<BackendInfo> = emptyList()
        private set

    /** Takes [list]. Returns false and ignores it if a later one is known. */
    fun update(list: BackendList): Boolean {
        if (list.version < version) return false
        val nowMs = elapsed.nowMs()
        val ids = list.backends.mapTo(HashSet()) { it.id }
        listed.filter { it.id !in ids }.forEach { retained.putIfAbsent(it.id, Retained(it, nowMs)) }
        retained -= ids
        version = list.version
        listed = list.backends
        removeExpired(nowMs)
        return true
    }

    /** Removes retained backend servers whose time is over. Returns whether there were any. */
    fun removeExpired(): Boolean = retained.isNotEmpty() && removeExpired(elapsed.nowMs())

    private fun removeExpired(nowMs: Long): Boolean {
        val hasExpired = retained.values.removeIf { nowMs - it.sinceMs >= RETENTION_MS }
        backends = listed + retained.values.map { it.info }
        return hasExpired
    }

    companion object {
        const val RETENTION_MS = 2_200L
    }
}

package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * When an owner of each failure domain was last heard. Unlike the state of a peer, this outlives its process: the runs
 * that a lost owner has started go on for a while, also if its instance has been restarted.
 *
 * @property failureDomains all failure domains.
 * @property neverOwned those that had no owner according to the store, which may have been read long ago.
 */
internal class DomainOwnerTimes(
    clock: TimeSource.WithComparableMarks,
    private val failureDomains: Collection<String>,
    private val neverOwned: () -> Set<String>,
    private val selection: OwnerSelection,
) {
    private val elapsed = ElapsedClock(clock)
    private val heardAtMs = HashMap<String, Long>()

    /** A heartbeat of an owner of the failure domains [owned] has arrived. */
    fun onHeard(owned: Set<String>) {
        owned.forEach { heardAtMs[it] = elapsed.nowMs() }
    }

    /**
     * Failure domains without a reachable owner, with the time since one was heard. If none was, it may have lived
     * until this process has started.
     */
    fun unownedHeardMsAgo(): Map<String, Long> =
        selection.unowned(failureDomains)
            .filter { it in heardAtMs || it !in neverOwned() }
            .associateWith { elapsed.nowMs() - (heardAtMs[it] ?: 0) }
}

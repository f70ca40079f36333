package medlarroute.dispatch

import kotlin.time.TimeSource

/**
 * When an owner of each failure domain was last heard. Unlike the state of a peer, this outlives its process: the runs
 * that a lost owner has started go on for a while, also if its instance has been restarted.
 *
 * @property failureDomains all failure domains.
 * @property neverOwned those that had no owner according to the store, which may have been read long ago.
 * @property listeningMs for how long this process has been able to receive messages.
 */
internal class DomainOwnerTimes(
    clock: TimeSource.WithComparableMarks,
    private val failureDomains: Collection<String>,
    private val neverOwned: () -> Set<String>,
    private val selection: OwnerSelection,
    private val listeningMs: () -> Long,
) {
    private val elapsed = ElapsedClock(clock)
    private val heardAtMs = HashMap<String, Long>()

    /** A heartbeat of an owner of the failure domains [owned] has arrived. */
    fun onHeard(owned: Set<String>) {
        owned.forEach { heardAtMs[it] = elapsed.nowMs() }
    }

    /** Failure domains without a reachable owner, with the time for which this process has listened and heard none. */
    fun unownedSilenceMs(): Map<String, Long> =
        selection.unowned(failureDomains)
            .filter { it in heardAtMs || it !in neverOwned() }
            .associateWith { minOf(elapsed.nowMs() - (heardAtMs[it] ?: 0), listeningMs()) }
}

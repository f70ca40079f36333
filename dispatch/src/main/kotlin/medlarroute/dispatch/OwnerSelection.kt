package medlarroute.dispatch

import medlarroute.dispatch.routing.RefusedJobRouting
import medlarroute.dispatch.routing.ReportedLoad

/**
 * Selects the owner to which an instance sends a job.
 *
 * @property own the instance itself, as its peers see it.
 * @property peers the other instances.
 * @property isPerDomain whether each failure domain has an owner of its own.
 * @property heartbeatOf last heartbeat of a peer; null unless it is alive.
 * @property ownLoadPercent load of the instance itself as an owner.
 * @property evacuated failure domains in which no new task starts.
 * @property overflowPercent see [DispatchSettings.overflowPercent].
 */
internal class OwnerSelection(
    private val own: () -> PeerView,
    private val peers: () -> List<PeerView>,
    private val isPerDomain: () -> Boolean,
    private val heartbeatOf: (String) -> PeerMessage.Heartbeat?,
    private val ownLoadPercent: () -> Int,
    private val evacuated: () -> Set<String> = { emptySet() },
    private val overflowPercent: Int = DispatchSettings().overflowPercent,
) {
    private var turn = 0
    private val routing = RefusedJobRouting(overflowPercent)

    /** All reachable owners, including the instance itself. */
    fun owners(): List<PeerView> =
        (peers() + own()).filter { it.state == PeerState.ALIVE && it.owned.isNotEmpty() }

    /** All reachable owners except the instance itself. */
    fun otherOwners(): Set<String> =
        owners().mapTo(HashSet()) { it.member.instance }.also { it -= own().member.instance }

    /** Those of [failureDomains] that no reachable instance owns; none unless each has an owner of its own. */
    fun unowned(failureDomains: Collection<String>): List<String> {
        if (!isPerDomain()) return emptyList()
        val owned = owners().flatMapTo(HashSet()) { it.owned.keys }
        return failureDomains.filter { it !in owned }
    }

    /** Loads of the other owners in percent. */
    fun otherLoads(): Map<String, Int> = otherOwners().associateWith { heartbeatOf(it)?.loadPercent ?: 0 }

    /**
     * The owner for new jobs; null if there is none. The jobs of an evacuated failure domain are spread over the owners
     * of the others. If all are evacuated, the owner refuses them.
     */
    fun ownerOrNull(): String? {
        val owners = owners()
        val ownDomain = own().member.failureDomain
        val isEvacuated = isPerDomain() && ownDomain in evacuated()
        if (isEvacuated) nextInTurnOrNull(owners.filter(::isServing))?.let { return it }
        val nearest = owners.firstOrNull { isPerDomain() && ownDomain in it.owned }
        return (nearest ?: owners.filter(::isServing).ifEmpty { owners }.minWithOrNull(BEST_OWNER))?.member?.instance
    }

    /** The other reachable owners of which at least one failure domain is not evacuated. */
    fun otherServingOwners(): List<String> =
        owners().filter(::isServing).map { it.member.instance }.filter { it != own().member.instance }.sorted()

    private fun isServing(owner: PeerView): Boolean {
        val evacuated = evacuated()
        return evacuated.isEmpty() || owner.owned.keys.any { it !in evacuated }
    }

    private fun nextInTurnOrNull(owners: List<PeerView>): String? =
        if (owners.isEmpty()) null else owners[turn++.mod(owners.size)].member.instance

    /**
     * The next owner for a job that the owners [refusedBy] have refused; null if there is none to be asked. Without an
     * owner for each failure domain, or if switched off, only one other owner with a reserve is asked.
     */
    fun nextOrNull(refusedBy: Set<String>): ReportedLoad? {
        if (isPerDomain() && overflowPercent > 0) return routing.nextOrNull(reportedLoads(refusedBy), refusedBy)
        return if (refusedBy.size == 1) SINGLE_OWNER_ROUTING.nextOrNull(reportedLoads(refusedBy), refusedBy) else null
    }

    /**
     * Loads of the reachable owners that can start tasks. Those that an owner in [askedOwners] reports are more recent
     * than the heartbeats of distant owners. They do not count if this instance itself can't reach the owner.
     */
    private fun reportedLoads(askedOwners: Set<String>): List<ReportedLoad> {
        val reported = askedOwners.mapNotNull { heartbeatOf(it)?.ownerLoads }
        return owners().filter(::isServing).map { it.member.instance }.map { owner ->
            val byAsked = reported.firstNotNullOfOrNull { it[owner] }
            ReportedLoad(owner, byAsked ?: heartbeatOf(owner)?.loadPercent ?: ownLoadPercent())
        }
    }

    private companion object {
        val BEST_OWNER = compareByDescending<PeerView> { it.owned.size }.thenBy { it.member.number }

        /** The choice without an owner for each failure domain: a quarter is kept for the callers of that owner. */
        val SINGLE_OWNER_ROUTING = RefusedJobRouting(limitPercent = 75)
    }
}

package medlarroute.core

import kotlin.random.Random

/**
 * Chooses the peers that get a heartbeat in a round.
 *
 * Failure domains take turns, and so do the peers within each, in an order that is shuffled once per pass. So every
 * failure domain is contacted in every `ceil(domains / fanOut)` rounds, and every reachable peer at least once in
 * `ceil(domains * peers of the largest domain / fanOut)` rounds, or twice that for two adjacent passes.
 */
internal class PeerSelection(private val fanOut: Int, private val random: Random) {
    private val pending = HashMap<FailureDomainId, ArrayDeque<InstanceId>>()
    private var domains = ArrayDeque<FailureDomainId>()
    private val probes = ArrayDeque<InstanceId>()
    private var round = 0L

    /** Unreachable peers get at most one of the places, so that a partition takes little from the other peers. */
    fun next(reachable: List<EntryMember>, unreachable: List<EntryMember>): List<InstanceId> {
        round++
        val chosen = LinkedHashSet<InstanceId>()
        val hasPlace = fanOut > 1 || reachable.isEmpty() || round % 2 == 0L
        if (unreachable.isNotEmpty() && hasPlace) {
            chosen += nextOf(probes, unreachable.map { it.instance })
        }
        val byDomain = reachable.groupBy({ it.failureDomain }, { it.instance })
        val places = minOf(fanOut - chosen.size, reachable.size)
        repeat(places) { nextPeer(byDomain, chosen)?.let { chosen += it } }
        return chosen.toList()
    }

    private fun nextPeer(byDomain: Map<FailureDomainId, List<InstanceId>>, chosen: Set<InstanceId>): InstanceId? {
        pending.keys.retainAll(byDomain.keys)
        repeat(byDomain.size) {
            val domain = nextDomain(byDomain.keys)
            val free = byDomain.getValue(domain).filter { it !in chosen }
            if (free.isNotEmpty()) return nextOf(pending.getOrPut(domain) { ArrayDeque() }, free)
        }
        return null
    }

    private fun nextDomain(known: Set<FailureDomainId>): FailureDomainId {
        domains.removeAll { it !in known }
        known.filterNot { it in domains }.shuffled(random).forEach { domains.addLast(it) }
        return domains.removeFirst().also { domains.addLast(it) }
    }

    /** The first of [queue] that is in [allowed]; refills the queue with a new shuffle once it has none. */
    private fun nextOf(queue: ArrayDeque<InstanceId>, allowed: List<InstanceId>): InstanceId {
        val next = queue.firstOrNull { it in allowed }
        if (next != null) {
            queue.remove(next)
            return next
        }
        queue.clear()
        queue.addAll(allowed.shuffled(random))
        return queue.removeFirst()
    }
}

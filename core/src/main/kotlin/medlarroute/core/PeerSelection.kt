package medlarroute.core

import kotlin.random.Random

/**
 * Chooses the peers that get a heartbeat in a round.
 *
 * Failure domains are selected round-robin, and so are the peers within each, in an order that is shuffled once per
 * pass. So every failure domain is contacted in every `ceil(domains / fanOut)` rounds, and every reachable peer at
 * least once in `ceil(domains * peers of the largest domain / fanOut)` rounds, or twice that for two adjacent passes.
 */
internal class PeerSelection(private val fanOut: Int, private val random: Random) {
    private val pending = HashMap<FailureDomainId, ArrayDeque<InstanceId>>()
    private var domains = ArrayDeque<FailureDomainId>()
    private val pendingProbes = ArrayDeque<InstanceId>()
    private var round = 0L

    /** At most one of the selected peers is unreachable, so that a partition hardly delays contact with other peers. */
    fun next(reachable: List<EntryMember>, unreachable: List<EntryMember>): List<InstanceId> {
        round++
        val chosen = LinkedHashSet<InstanceId>()
        val mayProbe = fanOut > 1 || reachable.isEmpty() || round % 2 == 0L
        if (unreachable.isNotEmpty() && mayProbe) {
            chosen += nextOf(pendingProbes, unreachable.map { it.instance })
        }
        val byDomain = reachable.groupBy({ it.failureDomain }, { it.instance })
        val count = minOf(fanOut - chosen.size, reachable.size)
        repeat(count) { nextPeer(byDomain, chosen)?.let { chosen += it } }
        return chosen.toList()
    }

    private fun nextPeer(byDomain: Map<FailureDomainId, List<InstanceId>>, chosen: Set<InstanceId>): InstanceId? {
        pending.keys.retainAll(byDomain.keys)
        repeat(byDomain.size) {
            val domain = nextDomain(byDomain.keys)
            val candidates = byDomain.getValue(domain).filter { it !in chosen }
            if (candidates.isNotEmpty()) return nextOf(pending.getOrPut(domain) { ArrayDeque() }, candidates)
        }
        return null
    }

    private fun nextDomain(known: Set<FailureDomainId>): FailureDomainId {
        domains.removeAll { it !in known }
        known.filterNot { it in domains }.shuffled(random).forEach { domains.addLast(it) }
        return domains.removeFirst().also { domains.addLast(it) }
    }

    /** The first of [queue] that is in [allowed]; if there is none, the queue is refilled in a new random order. */
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

package medlarroute.dispatch

/** Gives each failure domain one owner at a time, by records as [Ownership] keeps them in the platform's store. */
internal class SimulatedOwnership(private val fleet: SimulatedFleet, private val running: () -> List<SimulatedOwner>) {
    private class Record {
        var owner: SimulatedOwner? = null
        var token = 0L
        var renewedAtMs = 0L

        /** Differs with each claim, since claimants read the store at different times. */
        var claimDelayMs = 0L
    }

    private val settings = OwnershipSettings(tokenSuffix = 0)
    private val records = HashMap<String, Record>()
    private val sim get() = fleet.sim
    private val random get() = fleet.random

    fun recordedToken(failureDomain: String): Long = records[failureDomain]?.token ?: 0

    fun owners(): Map<String, SimulatedOwner> =
        records.mapNotNull { (domain, record) -> record.owner?.let { domain to it } }.toMap()

    fun start(domains: List<String>, first: List<SimulatedOwner>) {
        domains.zip(first).forEach { (domain, owner) ->
            records[domain] = Record()
            give(domain, owner)
        }
        checkRecords()
    }

    /** Records [owner] with the next token, and tells it after [delayMs] unless it has been replaced by then. */
    private fun give(domain: String, owner: SimulatedOwner, delayMs: Long = 0) {
        val record = records.getValue(domain)
        record.owner = owner
        record.renewedAtMs = sim.nowMs
        record.claimDelayMs = random.nextLong(SPREAD_MS)
        val token = ++record.token
        val acquire = { owner.deliver { if (record.token == token) owner.acquire(domain, token) } }
        if (delayMs == 0L) acquire() else sim.after(delayMs) { acquire() }
    }

    private fun checkRecords() {
        for ((domain, record) in records) {
            val owner = record.owner
            val isRenewing = owner != null && owner.isRunning && !owner.isPaused
            if (isRenewing) {
                record.renewedAtMs = sim.nowMs
            } else if (sim.nowMs - record.renewedAtMs >= staleMs(owner) + record.claimDelayMs) {
                claimantOrNull()?.let { give(domain, it) }
            }
        }
        sim.after(CHECK_MS, ::checkRecords)
    }

    private fun staleMs(owner: SimulatedOwner?) =
        if (owner?.isRunning == true) settings.staleMs else settings.staleIfRefusedMs

    private fun claimantOrNull(): SimulatedOwner? {
        val candidates = running().filterNot { it.isPaused }.shuffled(random)
        return candidates.minByOrNull { it.owned.size }
    }

    /** A planned handover of [domain] by its owner, which may lose the others that it owns at the same time. */
    fun handOver(domain: String): Boolean {
        val former = records.getValue(domain).owner ?: return false
        val next = running().filter { it !== former }.randomOrNull(random) ?: return false
        if (!former.isRunning || former.isPaused || domain !in former.owned) return false
        val leavesAll = random.nextBoolean()
        val released = if (leavesAll) former.owned.keys.toSet() else setOf(domain)
        former.lose(released, isPlanned = true)
        released.forEach { give(it, next, delayMs = random.nextLong(1, HANDOVER_MS)) }
        return true
    }

    private companion object {
        const val CHECK_MS = 50L
        const val SPREAD_MS = 600L
        const val HANDOVER_MS = 100L
    }
}

package medlarroute.core

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

/**
 * Ranks the backend servers for the next start.
 *
 * Other instances start tasks on the same backend servers, and this instance does not see their starts. Each reply
 * reports the busy slots; those not used by this instance are the load of the others, which is assumed to return to the
 * mean over time. A backend server that has not just reported a free slot gets only speculative starts, which are
 * limited.
 */
internal class BackendPool(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val random: Random,
) {
    private class Domain(val id: FailureDomainId) {
        val shortWorkIndex = BackendIndex()
        val longWorkIndex = BackendIndex()
        var allowed = 0
        var longAllowed = 0

        fun index(isLong: Boolean) = if (isLong) longWorkIndex else shortWorkIndex
    }

    private class Timer(val atNs: Long, val row: BackendRow)

    private val localDomain = FailureDomainId(settings.failureDomain)
    private val domains = LinkedHashMap<FailureDomainId, Domain>()
    private val timers = PriorityQueue<Timer>(compareBy { it.atNs })
    private val probesDue = ArrayDeque<BackendRow>()
    private val off = settings.disabled

    /** By [group]: mean part of the slots that other instances use. */
    private val meanOthersLoad = DoubleArray(2)
    private val speculativeStarts = List(2) { SpeculativeStartLimiter() }
    private val freshReports = ArrayList<BackendRow>()

    /** Estimated free slots on all usable backend servers. */
    var freeSlots = 0.0
        private set

    /** True once there was long work; until then short work is not kept off the backend servers for long work. */
    var hasLongWork = false

    fun add(row: BackendRow, nowNs: Long) {
        val domain = domains.getOrPut(row.info.failureDomain) { Domain(row.info.failureDomain) }
        row.indexPosition = domain.shortWorkIndex.add(row)
        check(domain.longWorkIndex.add(row) == row.indexPosition) { "positions in the indexes of a domain differ" }
        refreshAllowed(row, nowNs)
    }

    fun remove(row: BackendRow) {
        val domain = domains.getValue(row.info.failureDomain)
        updateFreeSlots(row, 0.0)
        setAllowed(row, domain, false)
        domain.shortWorkIndex.remove(row.indexPosition)
        domain.longWorkIndex.remove(row.indexPosition)
        row.indexPosition = -1
    }

    /** Recomputes whether the rules and the membership allow starts on [row]. */
    fun refreshAllowed(row: BackendRow, nowNs: Long) {
        val rules = tables.rules
        row.blocked = rules != null && (row.id in rules.blockedBackends || row.id in rules.drainedBackends)
        setAllowed(row, domains.getValue(row.info.failureDomain), !row.blocked && !row.leaving)
        update(row, nowNs)
    }

    private fun setAllowed(row: BackendRow, domain: Domain, allowed: Boolean) {
        if (row.isAllowed == allowed) return
        row.isAllowed = allowed
        val change = if (allowed) 1 else -1
        domain.allowed += change
        if (row.nameHash < settings.longBackendShare) domain.longAllowed += change
    }

    /** Whether any known backend server in [route] is serving. */
    fun hasAllowed(route: Set<FailureDomainId>?): Boolean =
        domains.values.any { (route == null || it.id in route) && it.allowed > 0 }

    /** Expected run time at speed 1 divided by the run time on [row]. */
    fun speed(row: BackendRow): Double =
        if (Mechanism.SPEED in off) 1.0 else exp(row.logSpeedSum / (row.speedSamples + SPEED_PRIOR))

    fun recordSpeed(row: BackendRow, expectedLog: Double, runNs: Double) {
        val sample = (expectedLog - ln(runNs.coerceAtLeast(1.0))).coerceIn(-MAX_LOG_SPEED, MAX_LOG_SPEED)
        row.logSpeedSum = row.logSpeedSum * SPEED_DECAY + sample
        row.speedSamples = row.speedSamples * SPEED_DECAY + 1
    }

    /** Applies the load that [row] reported with a reply. The task of the reply must have been released before. */
    fun recordUsage(row: BackendRow, usage: BackendUsage?, nowNs: Long) {
        if (usage == null || Mechanism.USAGE in off) return
        val inFlight = if (nowNs - row.recentStartsFromNs < ROUND_TRIP_NS) row.recentStarts else 0
        val running = (row.outstanding - inFlight).coerceAtLeast(0)
        row.othersBusy = (usage.busySlots - running).coerceIn(0, row.info.slots).toDouble()
        row.othersUpdatedNs = nowNs
        if (!row.hasFreshReport) freshReports += row
        row.hasFreshReport = true
        val group = group(row)
        meanOthersLoad[group] += (row.othersBusy / row.info.slots - meanOthersLoad[group]) * OTHERS_STEP
    }

    /** Starts no task on [row] for a while, as it replied that it is busy. */
    fun recordBusy(row: BackendRow, nowNs: Long) {
        val group = group(row)
        speculativeStarts[group].recordBusy(nowNs, tables.kinds.all.medianNs() / (tables.outstanding + 1))
        meanOthersLoad[group] += (1 - meanOthersLoad[group]) * BUSY_STEP
        row.othersBusy = (row.info.slots - row.outstanding).coerceAtLeast(0).toDouble()
        row.othersUpdatedNs = nowNs
        backOff(row, backOffNs(row), nowNs)
    }

    /** Doubles with each consecutive busy reply; the first back-off is about the time until a slot becomes free. */
    private fun backOffNs(row: BackendRow): Long {
        val doublings = row.busyReplies.coerceAtMost(MAX_DOUBLINGS)
        row.busyReplies++
        return ((tables.kinds.all.medianNs() / row.info.slots).toLong() shl doublings)
            .coerceIn(MIN_BACK_OFF_NS, MAX_BACK_OFF_NS)
    }

    fun backOff(row: BackendRow, forNs: Long, nowNs: Long) {
        if (Mechanism.BACK_OFF in off) return
        row.backOffUntilNs = nowNs + forNs
    }

    fun eject(row: BackendRow, forNs: Long, nowNs: Long) {
        row.ejectedUntilNs = nowNs + forNs
        row.isProbing = false
        probesDue.remove(row)
        setTimer(row, row.ejectedUntilNs)
        update(row, nowNs)
    }

    /** Time of the next change that needs no input; null if there is none. */
    fun nextTimerNs(): Long? = timers.peek()?.atNs

    /** Earliest time at which a group may have speculative starts again; null if all groups may have them now. */
    fun nextSpeculativeStartNs(nowNs: Long): Long? =
        speculativeStarts.mapNotNull { it.nextAllowedNs(nowNs) }.minOrNull()

    fun runTimers(nowNs: Long) {
        freshReports.removeIf { row ->
            (nowNs - row.othersUpdatedNs > FRESH_NS).also { if (it) row.hasFreshReport = false }
        }
        while (true) {
            val timer = timers.peek()?.takeIf { it.atNs <= nowNs } ?: return
            timers.remove()
            val row = timer.row
            if (row.indexPosition < 0 || row.timerNs != timer.atNs) continue
            row.timerNs = NEVER_NS
            if (row.ejectedUntilNs != NEVER_NS && row.ejectedUntilNs <= nowNs && !row.isProbing) {
                row.isProbing = true
                probesDue += row
            }
            update(row, nowNs)
        }
    }

    private fun setTimer(row: BackendRow, atNs: Long) {
        if (row.timerNs != NEVER_NS && row.timerNs >= atNs && row.ejectedUntilNs == NEVER_NS) return
        if (row.timerNs == atNs) return
        row.timerNs = atNs
        timers += Timer(atNs, row)
    }

    /** Updates the score of [row] after a change. */
    fun update(row: BackendRow, nowNs: Long) {
        if (row.indexPosition < 0) return
        val domain = domains.getValue(row.info.failureDomain)
        if (row.backOffUntilNs > nowNs) setTimer(row, row.backOffUntilNs)
        val free = if (isServing(row)) estimatedFree(row, nowNs) else 0.0
        row.rankedFreeSlots = free
        updateFreeSlots(row, free.coerceAtLeast(0.0))
        val score = if (isUsable(row, nowNs)) score(row, free, nowNs) else BackendIndex.UNUSABLE
        val forLong = Mechanism.LONG_SEPARATION in off || row.nameHash < settings.longBackendShare
        val longWorkPenalty = if (hasLongWork && forLong && Mechanism.LONG_SEPARATION !in off) LONG_PENALTY else 0.0
        val shortWorkScore = if (score < BackendIndex.UNUSABLE) score + longWorkPenalty else score
        domain.shortWorkIndex.update(row.indexPosition, shortWorkScore)
        domain.longWorkIndex.update(row.indexPosition, if (forLong) score else BackendIndex.UNUSABLE)
    }

    private fun updateFreeSlots(row: BackendRow, free: Double) {
        freeSlots += free - row.countedFreeSlots
        row.countedFreeSlots = free
    }

    private fun isServing(row: BackendRow) = row.isAllowed && row.ejectedUntilNs == NEVER_NS

    private fun isUsable(row: BackendRow, nowNs: Long): Boolean =
        isServing(row) && row.outstanding < concurrencyLimit(row) && row.backOffUntilNs <= nowNs

    private fun concurrencyLimit(row: BackendRow): Int {
        val all = row.info.slots
        val unclaimed = all * (1 - SHARE_SLOPE * meanOthersLoad[group(row)])
        val hasShare = Mechanism.SLOT_SHARES !in off
        val share = if (hasShare) maxOf(settings.slotShare * all, unclaimed, 1.0).roundToInt() else all
        return if (Mechanism.SLOW_START in off) share else row.slowStartWindow.coerceAtMost(share)
    }

    private fun estimatedFree(row: BackendRow, nowNs: Long): Double {
        val slots = row.info.slots
        if (Mechanism.USAGE in off) return (slots - row.outstanding).toDouble()
        val mean = meanOthersLoad[group(row)] * slots
        val age = (nowNs - row.othersUpdatedNs) / tables.kinds.all.medianNs()
        return slots - row.outstanding - (mean + (row.othersBusy - mean) * exp(-age))
    }

    private fun score(row: BackendRow, free: Double, nowNs: Long): Double {
        val step = floor(ln(speed(row)) / SPEED_QUANTUM + HALF) * SPEED_QUANTUM
        val slowness = exp(-step) * SPEED_WEIGHT
        val score = slowness + random.nextDouble() * JITTER
        if (free >= MIN_FREE_SLOTS) return score + (1 - free / row.info.slots) * LOAD_WEIGHT
        setTimer(row, nowNs + (tables.kinds.all.medianNs() / 2).toLong().coerceAtLeast(MIN_REFRESH_NS))
        return FULL_PENALTY + score - free
    }

    /** 0 for the backend servers that run short work only, 1 for those that run long work, too. */
    private fun group(row: BackendRow) = if (row.nameHash < settings.longBackendShare) 1 else 0

    /** The backend server in [route] that should get the next task; null if none may get a task now. */
    fun choose(route: Set<FailureDomainId>?, isLong: Boolean, smallJob: Boolean, nowNs: Long): BackendRow? {
        probe(route, smallJob, nowNs)?.let { return it }
        val useLong = isLong && domains.values.any { it.longAllowed > 0 && (route == null || it.id in route) }
        repeat(MAX_RANKING_UPDATES) {
            val row = bestIndex(route, useLong)?.best() ?: return null
            if (isUsable(row, nowNs) && row.rankedFreeSlots - estimatedFree(row, nowNs) < HALF) {
                return if (isStartAllowed(row, nowNs)) row else freshlyFreeOrNull(route, useLong, nowNs)
            }
            update(row, nowNs)
        }
        return null
    }

    private fun isStartAllowed(row: BackendRow, nowNs: Long): Boolean =
        isFreshlyFree(row, nowNs) || Mechanism.PROBE_BUDGET in off || speculativeStarts[group(row)].tryAcquire(nowNs)

    private fun isFreshlyFree(row: BackendRow, nowNs: Long): Boolean =
        row.hasFreshReport && isUsable(row, nowNs) && row.info.slots - row.outstanding - row.othersBusy >= 1

    /** A backend server that has just reported a free slot, usually that of the task that ended. */
    private fun freshlyFreeOrNull(route: Set<FailureDomainId>?, isLong: Boolean, nowNs: Long): BackendRow? =
        freshReports.firstOrNull {
            isFreshlyFree(it, nowNs) && (route == null || it.info.failureDomain in route) &&
                (!isLong || it.nameHash < settings.longBackendShare)
        }

    private fun bestIndex(route: Set<FailureDomainId>?, isLong: Boolean): BackendIndex? {
        var best: BackendIndex? = null
        var bestScore = BackendIndex.UNUSABLE
        for (domain in domains.values) {
            if (route != null && domain.id !in route) continue
            val index = domain.index(isLong)
            val isRemote = domain.id != localDomain && Mechanism.LOCALITY !in off
            val score = index.bestScore + if (isRemote) LOCALITY_WEIGHT else 0.0
            if (score < bestScore) {
                best = index
                bestScore = score
            }
        }
        return best
    }

    /** An ejected backend server that is due for a probe. A failed probe fails its job, so small jobs are preferred. */
    private fun probe(route: Set<FailureDomainId>?, smallJob: Boolean, nowNs: Long): BackendRow? {
        val row = probesDue.firstOrNull() ?: return null
        if (route != null && row.info.failureDomain !in route) return null
        if (!smallJob && nowNs - row.ejectedUntilNs < MAX_PROBE_WAIT_NS) return null
        probesDue.removeFirst()
        if (row.indexPosition < 0 || !row.isAllowed || row.outstanding > 0) return null
        return row
    }

    fun started(row: BackendRow, nowNs: Long) {
        row.outstanding++
        tables.outstanding++
        if (nowNs - row.recentStartsFromNs >= ROUND_TRIP_NS) {
            row.recentStartsFromNs = nowNs
            row.recentStarts = 0
        }
        row.recentStarts++
        update(row, nowNs)
    }

    fun released(row: BackendRow) {
        row.outstanding--
        tables.outstanding--
    }

    private companion object {
        const val HALF = 0.5

        /** Multiple of the others' mean load by which the part of the slots that this instance may use is reduced. */
        const val SHARE_SLOPE = 2.0

        /** Weight of the prior speed of 1, in samples. */
        const val SPEED_PRIOR = 10.0
        const val SPEED_DECAY = 0.99
        const val MAX_LOG_SPEED = 2.0

        /** Step of the natural logarithm of the speed in the score; smaller differences are noise of the estimate. */
        const val SPEED_QUANTUM = 0.2
        const val SPEED_WEIGHT = 0.5
        const val LOAD_WEIGHT = 4.0
        const val JITTER = 0.1

        /** Keeps short work off the backend servers for long work while others are about as good. */
        const val LONG_PENALTY = 0.5

        /**
         * Added to the score of other failure domains; as much as three eighths of the slots being busy. The round trip
         * to another domain is short compared with most tasks, but instances that stay within their own domain compete
         * less with the others for the same slots.
         */
        const val LOCALITY_WEIGHT = 1.5

        /** Ranks backend servers without an estimated free slot behind all others. */
        const val FULL_PENALTY = 1e6

        /** Outdated scores that are recomputed for one choice. */
        const val MAX_RANKING_UPDATES = 8

        /** Weight of one report in [meanOthersLoad]. */
        const val OTHERS_STEP = 0.01

        /** A busy reply is stronger evidence of load than a report, as the start was sent where slots seemed free. */
        const val BUSY_STEP = 0.2
        const val MIN_FREE_SLOTS = 1.0

        /** Time for which a report of a free slot counts as current, so that a start on it is not speculative. */
        const val FRESH_NS = NS_PER_MS
        const val ROUND_TRIP_NS = 2 * NS_PER_MS
        const val MIN_REFRESH_NS = 10 * NS_PER_MS
        const val MIN_BACK_OFF_NS = 2 * NS_PER_MS
        const val MAX_BACK_OFF_NS = 200 * NS_PER_MS
        const val MAX_DOUBLINGS = 6

        /** Time for which a due probe waits for a small job. */
        const val MAX_PROBE_WAIT_NS = 5 * NS_PER_SECOND
    }
}

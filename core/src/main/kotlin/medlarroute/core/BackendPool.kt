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
 * Other instances start tasks on the same backend servers and their starts are not seen. Each reply reports the busy
 * slots; what this instance does not hold itself is the load of the others, which is presumed to drift to the average
 * over time. A backend server that is presumed full gets a start only as a probe, and probes are limited.
 */
internal class BackendPool(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val random: Random,
) {
    private class Domain(val id: FailureDomainId) {
        val forShort = BackendIndex()
        val forLong = BackendIndex()
        var allowed = 0
        var longAllowed = 0

        fun index(isLong: Boolean) = if (isLong) forLong else forShort
    }

    private class Timer(val atNs: Long, val row: BackendRow)

    private val home = FailureDomainId(settings.failureDomain)
    private val domains = LinkedHashMap<FailureDomainId, Domain>()
    private val timers = PriorityQueue<Timer>(compareBy { it.atNs })
    private val probeReady = ArrayDeque<BackendRow>()
    private val off = settings.disabled

    /** Index 0 for the backend servers that run short work only, 1 for those that run long work, too. */
    private val othersMean = DoubleArray(2)
    private val guesses = List(2) { GuessWindow() }
    private val fresh = ArrayList<BackendRow>()

    /** Estimated free slots on all usable backend servers. */
    var freeSlots = 0.0
        private set

    /** True once long work was seen; until then short work need not keep away from its backend servers. */
    var hasLongWork = false

    fun add(row: BackendRow, nowNs: Long) {
        val domain = domains.getOrPut(row.info.failureDomain) { Domain(row.info.failureDomain) }
        row.slot = domain.forShort.add(row)
        check(domain.forLong.add(row) == row.slot) { "the indexes of a failure domain have the same places" }
        refreshRules(row, nowNs)
    }

    fun remove(row: BackendRow) {
        val domain = domains.getValue(row.info.failureDomain)
        count(row, 0.0)
        setAllowed(row, domain, false)
        domain.forShort.remove(row.slot)
        domain.forLong.remove(row.slot)
        row.slot = -1
    }

    /** Takes over what the rules and the membership say about [row]. */
    fun refreshRules(row: BackendRow, nowNs: Long) {
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
        if (row.place < settings.longBackendShare) domain.longAllowed += change
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

    /** Takes in the load that [row] reported with a reply; the task of the reply is released already. */
    fun recordUsage(row: BackendRow, usage: BackendUsage?, nowNs: Long) {
        if (usage == null || Mechanism.USAGE in off) return
        val onTheWay = if (nowNs - row.burstFromNs < ROUND_TRIP_NS) row.burst else 0
        val running = (row.outstanding - onTheWay).coerceAtLeast(0)
        row.othersBusy = (usage.busySlots - running).coerceIn(0, row.info.slots).toDouble()
        row.othersAtNs = nowNs
        if (!row.isFresh) fresh += row
        row.isFresh = true
        val group = group(row)
        othersMean[group] += (row.othersBusy / row.info.slots - othersMean[group]) * OTHERS_STEP
    }

    /** Leaves a backend server alone that was busy. */
    fun recordBusy(row: BackendRow, nowNs: Long) {
        val group = group(row)
        guesses[group].recordBusy(nowNs, tables.kinds.all.medianNs() / (tables.outstanding + 1))
        othersMean[group] += (1 - othersMean[group]) * BUSY_STEP
        row.othersBusy = (row.info.slots - row.outstanding).coerceAtLeast(0).toDouble()
        row.othersAtNs = nowNs
        hold(row, backOffNs(row), nowNs)
    }

    /** Doubles the wait with each busy reply in a row; the first is about the time until a slot becomes free. */
    private fun backOffNs(row: BackendRow): Long {
        val doublings = row.busyReplies.coerceAtMost(MAX_DOUBLINGS)
        row.busyReplies++
        return ((tables.kinds.all.medianNs() / row.info.slots).toLong() shl doublings)
            .coerceIn(MIN_BACK_OFF_NS, MAX_BACK_OFF_NS)
    }

    fun hold(row: BackendRow, forNs: Long, nowNs: Long) {
        if (Mechanism.BACK_OFF in off) return
        row.heldUntilNs = nowNs + forNs
    }

    fun eject(row: BackendRow, forNs: Long, nowNs: Long) {
        row.ejectedUntilNs = nowNs + forNs
        row.isProbing = false
        probeReady.remove(row)
        setTimer(row, row.ejectedUntilNs)
        update(row, nowNs)
    }

    /** Time of the next change that comes by itself; null if there is none. */
    fun nextTimerNs(): Long? = timers.peek()?.atNs

    /** Time at which guesses are allowed again; null if they are allowed now. */
    fun nextGuessNs(nowNs: Long): Long? = guesses.mapNotNull { it.nextNs(nowNs) }.minOrNull()

    fun runTimers(nowNs: Long) {
        fresh.removeIf { row -> (nowNs - row.othersAtNs > FRESH_NS).also { if (it) row.isFresh = false } }
        while (true) {
            val timer = timers.peek()?.takeIf { it.atNs <= nowNs } ?: return
            timers.remove()
            val row = timer.row
            if (row.slot < 0 || row.timerNs != timer.atNs) continue
            row.timerNs = NEVER_NS
            if (row.ejectedUntilNs != NEVER_NS && row.ejectedUntilNs <= nowNs && !row.isProbing) {
                row.isProbing = true
                probeReady += row
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

    /** Ranks [row] anew after a change. */
    fun update(row: BackendRow, nowNs: Long) {
        if (row.slot < 0) return
        val domain = domains.getValue(row.info.failureDomain)
        if (row.heldUntilNs > nowNs) setTimer(row, row.heldUntilNs)
        val free = if (isServing(row)) estimatedFree(row, nowNs) else 0.0
        row.scoredFree = free
        count(row, free.coerceAtLeast(0.0))
        val score = if (isUsable(row, nowNs)) score(row, free, nowNs) else BackendIndex.UNUSABLE
        val forLong = Mechanism.LONG_SEPARATION in off || row.place < settings.longBackendShare
        val crowding = if (hasLongWork && forLong && Mechanism.LONG_SEPARATION !in off) LONG_PENALTY else 0.0
        domain.forShort.update(row.slot, if (score < BackendIndex.UNUSABLE) score + crowding else score)
        domain.forLong.update(row.slot, if (forLong) score else BackendIndex.UNUSABLE)
    }

    private fun count(row: BackendRow, free: Double) {
        freeSlots += free - row.countedFree
        row.countedFree = free
    }

    private fun isServing(row: BackendRow) = row.isAllowed && row.ejectedUntilNs == NEVER_NS

    private fun isUsable(row: BackendRow, nowNs: Long): Boolean =
        isServing(row) && row.outstanding < limit(row) && row.heldUntilNs <= nowNs

    private fun limit(row: BackendRow): Int {
        val all = row.info.slots
        val unclaimed = all * (1 - SHARE_SLOPE * othersMean[group(row)])
        val hasShare = Mechanism.SLOT_SHARES !in off
        val share = if (hasShare) maxOf(settings.slotShare * all, unclaimed, 1.0).roundToInt() else all
        return if (Mechanism.SLOW_START in off) share else row.window.coerceAtMost(share)
    }

    private fun estimatedFree(row: BackendRow, nowNs: Long): Double {
        val slots = row.info.slots
        if (Mechanism.USAGE in off) return (slots - row.outstanding).toDouble()
        val mean = othersMean[group(row)] * slots
        val age = (nowNs - row.othersAtNs) / tables.kinds.all.medianNs()
        return slots - row.outstanding - (mean + (row.othersBusy - mean) * exp(-age))
    }

    private fun score(row: BackendRow, free: Double, nowNs: Long): Double {
        val step = floor(ln(speed(row)) / SPEED_QUANTUM + HALF) * SPEED_QUANTUM
        val slowness = exp(-step) * SPEED_WEIGHT
        val score = slowness + random.nextDouble() * JITTER
        if (free >= MIN_FREE) return score + (1 - free / row.info.slots) * CROWD_WEIGHT
        setTimer(row, nowNs + (tables.kinds.all.medianNs() / 2).toLong().coerceAtLeast(MIN_REFRESH_NS))
        return PROBE_SCORE + score - free
    }

    private fun group(row: BackendRow) = if (row.place < settings.longBackendShare) 1 else 0

    /** The best backend server in [route] for one more task; null if none may get one now. */
    fun choose(route: Set<FailureDomainId>?, isLong: Boolean, smallJob: Boolean, nowNs: Long): BackendRow? {
        probe(route, smallJob, nowNs)?.let { return it }
        val useLong = isLong && domains.values.any { it.longAllowed > 0 && (route == null || it.id in route) }
        repeat(MAX_TRIES) {
            val row = bestIndex(route, useLong)?.best() ?: return null
            if (isUsable(row, nowNs) && row.scoredFree - estimatedFree(row, nowNs) < HALF) {
                return if (mayStart(row, nowNs)) row else freshOrNull(route, useLong, nowNs)
            }
            update(row, nowNs)
        }
        return null
    }

    private fun mayStart(row: BackendRow, nowNs: Long): Boolean =
        isFreshlyFree(row, nowNs) || Mechanism.PROBE_BUDGET in off || guesses[group(row)].take(nowNs)

    private fun isFreshlyFree(row: BackendRow, nowNs: Long): Boolean =
        row.isFresh && isUsable(row, nowNs) && row.info.slots - row.outstanding - row.othersBusy >= 1

    /** A backend server that has just reported a free slot, most often that of the task that ended. */
    private fun freshOrNull(route: Set<FailureDomainId>?, isLong: Boolean, nowNs: Long): BackendRow? =
        fresh.firstOrNull {
            isFreshlyFree(it, nowNs) && (route == null || it.info.failureDomain in route) &&
                (!isLong || it.place < settings.longBackendShare)
        }

    private fun bestIndex(route: Set<FailureDomainId>?, isLong: Boolean): BackendIndex? {
        var best: BackendIndex? = null
        var bestScore = BackendIndex.UNUSABLE
        for (domain in domains.values) {
            if (route != null && domain.id !in route) continue
            val index = domain.index(isLong)
            val far = domain.id != home && Mechanism.LOCALITY !in off
            val score = index.bestScore + if (far) LOCALITY_WEIGHT else 0.0
            if (score < bestScore) {
                best = index
                bestScore = score
            }
        }
        return best
    }

    /** A probe may cost its job, so a small job is taken if one comes in time. */
    private fun probe(route: Set<FailureDomainId>?, smallJob: Boolean, nowNs: Long): BackendRow? {
        val row = probeReady.firstOrNull() ?: return null
        if (route != null && row.info.failureDomain !in route) return null
        if (!smallJob && nowNs - row.ejectedUntilNs < PROBE_PATIENCE_NS) return null
        probeReady.removeFirst()
        if (row.slot < 0 || !row.isAllowed || row.outstanding > 0) return null
        return row
    }

    fun started(row: BackendRow, nowNs: Long) {
        row.outstanding++
        tables.outstanding++
        if (nowNs - row.burstFromNs >= ROUND_TRIP_NS) {
            row.burstFromNs = nowNs
            row.burst = 0
        }
        row.burst++
        update(row, nowNs)
    }

    fun released(row: BackendRow) {
        row.outstanding--
        tables.outstanding--
    }

    private companion object {
        const val HALF = 0.5

        /** The slots of a backend server that are open to this instance shrink by this part of the others' load. */
        const val SHARE_SLOPE = 2.0
        const val SPEED_PRIOR = 10.0
        const val SPEED_DECAY = 0.99
        const val MAX_LOG_SPEED = 2.0

        /** Steps of the ranking by speed; smaller differences are noise of the estimate. */
        const val SPEED_QUANTUM = 0.2
        const val SPEED_WEIGHT = 0.5
        const val CROWD_WEIGHT = 4.0
        const val JITTER = 0.1
        const val LONG_PENALTY = 0.5

        /**
         * The round trip to another failure domain is short against most tasks, but instances that keep to their own
         * one collide less with the others: about a third of the slots of the own domain is preferred to being away.
         */
        const val LOCALITY_WEIGHT = 1.5
        const val PROBE_SCORE = 1e6
        const val MAX_TRIES = 8
        const val OTHERS_STEP = 0.01

        /** A busy reply tells more about the load than a report: it was sent where slots were presumed. */
        const val BUSY_STEP = 0.2
        const val MIN_FREE = 1.0

        /** A report of a free slot is acted on without a guess for this long. */
        const val FRESH_NS = NS_PER_MS
        const val ROUND_TRIP_NS = 2 * NS_PER_MS
        const val MIN_REFRESH_NS = 10 * NS_PER_MS
        const val MIN_BACK_OFF_NS = 2 * NS_PER_MS
        const val MAX_BACK_OFF_NS = 200 * NS_PER_MS
        const val MAX_DOUBLINGS = 6
        const val PROBE_PATIENCE_NS = 5 * NS_PER_SECOND
    }
}

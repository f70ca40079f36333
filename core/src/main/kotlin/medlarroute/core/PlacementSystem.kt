package medlarroute.core

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.nanoseconds

/** Queue of the batches that may run on the same backend servers and have the same rank. */
internal class Lane(val route: Set<FailureDomainId>?, val isLong: Boolean, val aboveQuota: Boolean) {
    val batches = PriorityQueue<Batch>(compareBy { it.key })
    var isBlocked = false
}

/** Orders queued tasks and starts them on backend servers. */
internal class PlacementSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val pool: BackendPool,
) {
    private data class LaneKey(val route: Set<FailureDomainId>?, val isLong: Boolean, val aboveQuota: Boolean)

    private val lanes = LinkedHashMap<LaneKey, Lane>()
    private val parked = ArrayDeque<Batch>()
    private val off = settings.disabled
    private var retryTokens = MAX_RETRY_TOKENS
    private var retryFilledNs = 0L

    private var queuedSinceNs = NEVER_NS

    /** Whether some task has been waiting all the time for longer than the discovery of free slots takes. */
    fun isBacklogged(nowNs: Long): Boolean = queuedSinceNs != NEVER_NS && nowNs - queuedSinceNs > BACKLOG_NS

    /** Queues all tasks of an admitted job. */
    fun enqueue(job: JobRow) {
        val route = tables.rules?.routeOf(job.spec.caller, job.spec.kind)?.failureDomains
        for (task in job.tasks) if (task.state == TaskState.QUEUED) batchOf(job, task, route).add(task)
        for (batch in job.batches) {
            if (Mechanism.DECLARED !in off && job.spec.tasks.any { it.declared != null }) longestFirst(batch)
            push(batch)
        }
    }

    /** The longest task decides when the job ends, so it starts first. */
    private fun longestFirst(batch: Batch) {
        val sorted = batch.tasks.sortedByDescending { it.estimateNs }
        batch.tasks.clear()
        batch.tasks.addAll(sorted)
    }

    private fun Batch.add(task: TaskRow) {
        tasks.addLast(task)
        workNs += task.estimateNs
        tables.countQueuedWork(task.estimateNs, lane.isLong)
        tables.queuedTasks++
    }

    private fun batchOf(job: JobRow, task: TaskRow, route: Set<FailureDomainId>?): Batch {
        job.batches.firstOrNull { it.lane.isLong == task.isLong }?.let { return it }
        val key = LaneKey(route, task.isLong, job.aboveQuota)
        val lane = lanes.getOrPut(key) { Lane(route, task.isLong, job.aboveQuota) }
        return Batch(job, lane).also { job.batches += it }
    }

    /** Puts a task back that was proved not to have started. */
    fun requeue(task: TaskRow) {
        if (task.job.isEnded) return
        val batch = task.job.batches.firstOrNull { it.lane.isLong == task.isLong } ?: return
        batch.add(task)
        if (!batch.isQueued) push(batch)
    }

    private fun push(batch: Batch) {
        if (batch.tasks.isEmpty()) return
        batch.isQueued = true
        batch.key = key(batch)
        batch.lane.batches += batch
    }

    /**
     * Time at which the job would end if it had the slots of this instance to itself, with the arrival weighted by the
     * ageing: a job passes an older one only if it is shorter by more than that weight of the age.
     */
    private fun key(batch: Batch): Double {
        val job = batch.job
        if (Mechanism.ORDER in off) return job.arrivedNs.toDouble()
        val slots = (tables.outstanding + pool.freeSlots).coerceAtLeast(MIN_SLOTS)
        return settings.ageing * job.arrivedNs + batch.workNs / slots
    }

    /** Forgets the queued tasks of a job that has ended. */
    fun discard(job: JobRow) {
        for (batch in job.batches) {
            tables.countQueuedWork(-batch.workNs, batch.lane.isLong)
            tables.queuedTasks -= batch.tasks.size
            batch.tasks.clear()
            batch.workNs = 0
        }
    }

    /** New rules may send queued tasks elsewhere. */
    fun rulesChanged() {
        lanes.clear()
        parked.clear()
        for (job in tables.jobs.values) {
            if (!job.admitted || job.isEnded) continue
            discard(job)
            job.batches.clear()
            enqueue(job)
        }
    }

    fun run(nowNs: Long, effects: MutableList<Effect>) {
        if (tables.queuedTasks > 0 && tables.rules != null) startAll(nowNs, effects)
        if (tables.queuedTasks == 0) {
            queuedSinceNs = NEVER_NS
        } else if (queuedSinceNs == NEVER_NS) {
            queuedSinceNs = nowNs
        }
    }

    private fun startAll(nowNs: Long, effects: MutableList<Effect>) {
        fillRetries(nowNs)
        lanes.values.forEach { it.isBlocked = false }
        while (tables.queuedTasks > 0) {
            val batch = nextBatch() ?: return
            if (isHopeless(batch.job, nowNs)) refuse(batch.job) else startNext(batch, nowNs, effects)
        }
    }

    private fun nextBatch(): Batch? {
        var best: Batch? = null
        for (lane in lanes.values) {
            if (lane.isBlocked) continue
            val head = head(lane) ?: continue
            if (best == null || isBefore(head, best)) best = head
        }
        return best
    }

    private fun isBefore(left: Batch, right: Batch): Boolean =
        if (left.lane.aboveQuota != right.lane.aboveQuota) right.lane.aboveQuota else left.key < right.key

    private fun head(lane: Lane): Batch? {
        while (true) {
            val head = lane.batches.peek() ?: return null
            if (head.tasks.isNotEmpty() && !head.job.isEnded) return head
            lane.batches.remove()
            head.isQueued = false
        }
    }

    /** A job of which nothing was sent yet and that can't end in time any more is refused before it costs anything. */
    private fun isHopeless(job: JobRow, nowNs: Long): Boolean =
        job.firstSentNs == NEVER_NS && Mechanism.ADMISSION !in off &&
            tables.kinds.of(job.spec.kind).medianNs() > job.deadlineNs - nowNs

    private fun refuse(job: JobRow) {
        val message = "the deadline can no longer be met"
        tables.end(job, Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)), RETRY_AFTER))
        discard(job)
    }

    private fun startNext(batch: Batch, nowNs: Long, effects: MutableList<Effect>) {
        val task = batch.tasks.peekFirst()
        if (task.sends > 0 && !takeRetry()) return park(batch)
        val isSmall = batch.job.tasks.size <= PROBE_JOB_TASKS
        val backend = pool.choose(batch.lane.route, batch.lane.isLong, isSmall, nowNs)
        if (backend == null) {
            batch.lane.isBlocked = true
            if (task.sends > 0) retryTokens += 1
            return
        }
        batch.tasks.removeFirst()
        batch.workNs -= task.estimateNs
        tables.countQueuedWork(-task.estimateNs, batch.lane.isLong)
        tables.queuedTasks--
        effects += start(task, backend, nowNs)
    }

    /** Without a token for a repeated send, the job lets others pass until there is one. */
    private fun park(batch: Batch) {
        val first = batch.tasks.firstOrNull { it.sends == 0 }
        if (first != null) {
            batch.tasks.remove(first)
            batch.tasks.addFirst(first)
            return
        }
        batch.lane.batches.remove(batch)
        parked += batch
    }

    private fun takeRetry(): Boolean {
        if (Mechanism.RETRY_BUDGET in off) return true
        if (retryTokens < 1) return false
        retryTokens -= 1
        return true
    }

    private fun fillRetries(nowNs: Long) {
        val filled = (nowNs - retryFilledNs) / RETRY_FILL_NS
        retryTokens = (retryTokens + filled).coerceAtMost(MAX_RETRY_TOKENS)
        retryFilledNs = nowNs
        if (retryTokens < 1) return
        while (parked.isNotEmpty()) push(parked.removeFirst())
    }

    /** Time of the next tick that may start a queued task without any input; null if nothing waits. */
    fun nextWakeNs(nowNs: Long): Long? {
        if (tables.queuedTasks == 0) return null
        return listOfNotNull(pool.nextTimerNs(), pool.nextGuessNs(nowNs), nowNs + MAX_SLEEP_NS).min()
    }

    private fun start(task: TaskRow, backend: BackendRow, nowNs: Long): Effect.Start {
        val job = task.job
        if (task.sends == 0) retryTokens = (retryTokens + settings.retryBudgetRatio).coerceAtMost(MAX_RETRY_TOKENS)
        task.state = TaskState.STARTED
        task.backend = backend
        task.sends++
        task.mayHaveRun = true
        if (job.firstSentNs == NEVER_NS) job.firstSentNs = nowNs
        pool.started(backend, nowNs)
        val leaseNs = saturatedAdd(job.deadlineNs - nowNs, settings.leaseMarginMs * NS_PER_MS)
        val spec = job.spec
        return Effect.Start(
            task = task.id,
            backend = backend.id,
            kind = spec.kind,
            payload = task.spec.payload,
            idempotent = spec.idempotent,
            lease = leaseNs.nanoseconds,
            decidedAt = nowNs.nanoseconds,
        )
    }

    private companion object {
        const val MIN_SLOTS = 8.0
        const val BACKLOG_NS = 50 * NS_PER_MS
        const val PROBE_JOB_TASKS = 4
        const val MAX_RETRY_TOKENS = 100.0

        /** Time in which one repeated send becomes free without any first send. */
        const val RETRY_FILL_NS = 50.0 * NS_PER_MS
        const val MAX_SLEEP_NS = 50 * NS_PER_MS
        val RETRY_AFTER = (100 * NS_PER_MS).nanoseconds
    }
}

package medlarroute.core

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.nanoseconds

/** Queue of the batches that may run on the same backend servers and are all within or all above their team's quota. */
internal class BatchQueue(val route: Set<FailureDomainId>?, val isLong: Boolean, val aboveQuota: Boolean) {
    val batches = PriorityQueue<Batch>(compareBy { it.sortKey })

    /** No backend server can take a task of this queue in the current tick. */
    var hasNoBackend = false
}

/** Orders the queued tasks and starts them on backend servers. */
internal class PlacementSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val pool: BackendPool,
) {
    private data class QueueKey(val route: Set<FailureDomainId>?, val isLong: Boolean, val aboveQuota: Boolean)

    private val queues = LinkedHashMap<QueueKey, BatchQueue>()
    private val awaitingRetry = ArrayDeque<Batch>()
    private val off = settings.disabled
    private var retryTokens = MAX_RETRY_TOKENS
    private var retryTokensFilledNs = 0L

    private var queuedSinceNs = NEVER_NS

    /** Whether tasks have been queued without a break for longer than it takes to find the free slots. */
    fun isBacklogged(nowNs: Long): Boolean = queuedSinceNs != NEVER_NS && nowNs - queuedSinceNs > BACKLOG_NS

    /** Queues all tasks of an admitted job. */
    fun enqueue(job: JobRow) {
        val route = tables.rules?.routeOf(job.spec.caller, job.spec.kind)?.failureDomains
        for (task in job.tasks) if (task.state == TaskState.QUEUED) batchOf(job, task, route).add(task)
        for (batch in job.batches) {
            if (Mechanism.DECLARED !in off && job.spec.tasks.any { it.declaredRunTime != null }) longestFirst(batch)
            push(batch)
        }
    }

    /** The longest task determines when the job ends, so it starts first. */
    private fun longestFirst(batch: Batch) {
        val sorted = batch.tasks.sortedByDescending { it.estimateNs }
        batch.tasks.clear()
        batch.tasks.addAll(sorted)
    }

    private fun Batch.add(task: TaskRow) {
        tasks.addLast(task)
        workNs += task.estimateNs
        tables.countQueuedWork(task.estimateNs, queue.isLong)
        tables.queuedTasks++
    }

    private fun batchOf(job: JobRow, task: TaskRow, route: Set<FailureDomainId>?): Batch {
        job.batches.firstOrNull { it.queue.isLong == task.isLong }?.let { return it }
        val key = QueueKey(route, task.isLong, job.aboveQuota)
        val queue = queues.getOrPut(key) { BatchQueue(route, task.isLong, job.aboveQuota) }
        return Batch(job, queue).also { job.batches += it }
    }

    /** Queues a task again that was proved not to have started. */
    fun requeue(task: TaskRow) {
        if (task.job.isEnded) return
        val batch = task.job.batches.firstOrNull { it.queue.isLong == task.isLong } ?: return
        batch.add(task)
        if (!batch.isQueued) push(batch)
    }

    private fun push(batch: Batch) {
        if (batch.tasks.isEmpty()) return
        batch.isQueued = true
        batch.sortKey = sortKeyOf(batch)
        batch.queue.batches += batch
    }

    /**
     * Time at which the job would end if it had all slots of this instance, with its arrival time weighted by
     * [EngineSettings.ageing]: a job overtakes an older one only if its remaining work is shorter by more than the
     * weighted difference of their ages.
     */
    private fun sortKeyOf(batch: Batch): Double {
        val job = batch.job
        if (Mechanism.ORDER in off) return job.arrivedNs.toDouble()
        val slots = (tables.outstanding + pool.freeSlots).coerceAtLeast(MIN_SLOTS)
        return settings.ageing * job.arrivedNs + batch.workNs / slots
    }

    /** Removes the tasks of [job] from the queues. */
    fun discard(job: JobRow) {
        for (batch in job.batches) {
            tables.countQueuedWork(-batch.workNs, batch.queue.isLong)
            tables.queuedTasks -= batch.tasks.size
            batch.tasks.clear()
            batch.workNs = 0
        }
    }

    /** Rebuilds the queues, as the new rules may route the queued tasks to other backend servers. */
    fun rulesChanged() {
        queues.clear()
        awaitingRetry.clear()
        for (job in tables.jobs.values) {
            if (!job.admitted || job.isEnded) continue
            discard(job)
            job.batches.clear()
            enqueue(job)
        }
    }

    fun run(nowNs: Long, effects: MutableList<Effect>) {
        if (tables.queuedTasks > 0 && tables.rules != null) startQueuedTasks(nowNs, effects)
        if (tables.queuedTasks == 0) {
            queuedSinceNs = NEVER_NS
        } else if (queuedSinceNs == NEVER_NS) {
            queuedSinceNs = nowNs
        }
    }

    private fun startQueuedTasks(nowNs: Long, effects: MutableList<Effect>) {
        refillRetryTokens(nowNs)
        queues.values.forEach { it.hasNoBackend = false }
        while (tables.queuedTasks > 0) {
            val batch = nextBatch() ?: return
            if (cannotEndInTime(batch.job, nowNs)) refuse(batch.job) else startNext(batch, nowNs, effects)
        }
    }

    private fun nextBatch(): Batch? {
        var best: Batch? = null
        for (queue in queues.values) {
            if (queue.hasNoBackend) continue
            val first = firstBatch(queue) ?: continue
            if (best == null || isBefore(first, best)) best = first
        }
        return best
    }

    private fun isBefore(left: Batch, right: Batch): Boolean =
        if (left.queue.aboveQuota != right.queue.aboveQuota) right.queue.aboveQuota else left.sortKey < right.sortKey

    private fun firstBatch(queue: BatchQueue): Batch? {
        while (true) {
            val first = queue.batches.peek() ?: return null
            if (first.tasks.isNotEmpty() && !first.job.isEnded) return first
            queue.batches.remove()
            first.isQueued = false
        }
    }

    /** Whether a job can't end by its deadline any more and may be refused, as none of its tasks was sent. */
    private fun cannotEndInTime(job: JobRow, nowNs: Long): Boolean =
        job.firstSentNs == NEVER_NS && Mechanism.ADMISSION !in off &&
            tables.kinds.of(job.spec.kind).medianNs() > job.deadlineNs - nowNs

    private fun refuse(job: JobRow) {
        val message = "the deadline can no longer be met"
        tables.end(job, Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)), REFUSAL_RETRY_AFTER))
        discard(job)
    }

    private fun startNext(batch: Batch, nowNs: Long, effects: MutableList<Effect>) {
        val task = batch.tasks.peekFirst()
        if (task.sends > 0 && !takeRetryToken()) return deferRetry(batch)
        val isSmall = batch.job.tasks.size <= MAX_SMALL_JOB_TASKS
        val backend = pool.choose(batch.queue.route, batch.queue.isLong, isSmall, nowNs)
        if (backend == null) {
            batch.queue.hasNoBackend = true
            if (task.sends > 0) retryTokens += 1
            return
        }
        batch.tasks.removeFirst()
        batch.workNs -= task.estimateNs
        tables.countQueuedWork(-task.estimateNs, batch.queue.isLong)
        tables.queuedTasks--
        effects += start(task, backend, nowNs)
    }

    /**
     * Without a token for the repeated send of its first task, the batch continues with a task that was not sent yet.
     * If it has none, it leaves the queue until there is a token.
     */
    private fun deferRetry(batch: Batch) {
        val first = batch.tasks.firstOrNull { it.sends == 0 }
        if (first != null) {
            batch.tasks.remove(first)
            batch.tasks.addFirst(first)
            return
        }
        batch.queue.batches.remove(batch)
        awaitingRetry += batch
    }

    private fun takeRetryToken(): Boolean {
        if (Mechanism.RETRY_BUDGET in off) return true
        if (retryTokens < 1) return false
        retryTokens -= 1
        return true
    }

    private fun refillRetryTokens(nowNs: Long) {
        val filled = (nowNs - retryTokensFilledNs) / RETRY_TOKEN_NS
        retryTokens = (retryTokens + filled).coerceAtMost(MAX_RETRY_TOKENS)
        retryTokensFilledNs = nowNs
        if (retryTokens < 1) return
        while (awaitingRetry.isNotEmpty()) push(awaitingRetry.removeFirst())
    }

    /** Time of the next tick that may start a queued task without any input; null if no task is queued. */
    fun nextWakeNs(nowNs: Long): Long? {
        if (tables.queuedTasks == 0) return null
        return listOfNotNull(pool.nextTimerNs(), pool.nextSpeculativeStartNs(nowNs), nowNs + MAX_WAKE_INTERVAL_NS).min()
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
        /** Lower bound of the slots assumed for the order of jobs, while few are known. */
        const val MIN_SLOTS = 8.0
        const val BACKLOG_NS = 50 * NS_PER_MS

        /** Jobs with at most this many tasks are preferred for probes. */
        const val MAX_SMALL_JOB_TASKS = 4
        const val MAX_RETRY_TOKENS = 100.0

        /** Time in which one retry token is added even if there are no first sends. */
        const val RETRY_TOKEN_NS = 50.0 * NS_PER_MS
        const val MAX_WAKE_INTERVAL_NS = 50 * NS_PER_MS
        val REFUSAL_RETRY_AFTER = (100 * NS_PER_MS).nanoseconds
    }
}

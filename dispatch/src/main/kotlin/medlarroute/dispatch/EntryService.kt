package medlarroute.dispatch

import medlarroute.dispatch.routing.ReportedLoad
import kotlin.random.Random
import kotlin.time.TimeSource

/** Selects owners of the backend servers and sends jobs to them. */
internal interface OwnerClient {
    /** The instance to submit jobs to, possibly this one; null if there is none. */
    fun ownerOrNull(): String?

    /** An owner that may have capacity for a job that the owners [refusedBy] have refused; null if there is none. */
    fun nextOrNull(refusedBy: Set<String>): ReportedLoad?

    /** Whether [instance] is reachable and owns a failure domain. */
    fun isOwner(instance: String): Boolean

    /** Whether [instance] is reachable. */
    fun isAlive(instance: String): Boolean

    /** Registration number of [instance], which identifies its process; null if it is unknown or provisional. */
    fun incarnationOrNull(instance: String): Long?

    fun submit(owner: String, message: PeerMessage.Submit)

    fun cancel(owner: String, message: PeerMessage.Cancel)
}

/**
 * Holds the requests of this instance's callers until each has received its one result.
 *
 * A job is submitted to the owner of the backend servers. If that owner hands over, dies or becomes unreachable, the
 * job is submitted to the next owner with its known progress. Not thread-safe.
 *
 * @param firstNumber number of the first request. It differs between the processes of an instance, so that no reply to
 *   an earlier one is taken for a reply to a request of this one.
 */
public class EntryService internal constructor(
    clock: TimeSource.WithComparableMarks,
    private val ownerClient: OwnerClient,
    firstNumber: Long = Random.nextLong(1, MAX_FIRST_NUMBER),
    private val log: EventLog,
) {
    private class PendingRequest(
        val handle: Long,
        val job: JobRequest,
        val requestId: String,
        val arrivedAtMs: Long,
        /** How long it may have waited unread before [arrivedAtMs]. */
        val unreadMs: Long,
        val deadlineMs: Long,
        val onResult: (JobResult) -> Unit,
    ) {
        var owner: String? = null

        /** Process of [owner] to which the job was last submitted; null if unknown. */
        var ownerIncarnation: Long? = null

        /**
         * Number of the request at [owner]. It changes with the owner, so that replies to earlier attempts are
         * ignored.
         */
        var number = 0L

        /** Whether it was sent again with the same number, so that a reply may be to either message. */
        var isRepeated = false

        /** Whether it joined a job of another instance, whose runs no report to this one tells. */
        var hasJoined = false

        /** Whether tasks may have been started after an earlier submission of the job that was not refused. */
        var mayHaveRun = false

        /** What earlier owners have reported; null if none has. */
        var progress: JobProgress? = null
        var ownershipLostAtMs = NEVER_MS

        /** Owners that have refused it. Each is asked once. */
        val refusedBy = HashSet<String>(1)

        /** The refusal for overload with the earliest retry; null if there is none. */
        var refusal: JobResult.NotRun? = null
    }

    private val elapsed = ElapsedClock(clock)
    private val pending = LinkedHashMap<Long, PendingRequest>()
    private val pendingByNumber = HashMap<Long, PendingRequest>()
    private var nextNumber = firstNumber

    public val openRequests: Int get() = pending.size

    /** Number of times that a refused job was sent to another owner, and of those jobs that were refused in the end. */
    public var forwarded: Long = 0
        private set
    public var forwardedInVain: Long = 0
        private set

    private var tickedAtMs = 0L
    private var previousTickAtMs = 0L

    /** Begin of the last pause of this process, and the time until which requests from then may still be read. */
    private var pausedAtMs = NEVER_MS
    private var backlogUntilMs = NEVER_MS

    private fun nowMs() = elapsed.nowMs()

    /**
     * How long a request that is read now may have waited, if this process has just been paused. The first tick after a
     * pause may come before the requests are read that have arrived during it, and some more ticks before those on
     * connections that have to be accepted first.
     */
    private fun unreadMs(nowMs: Long): Long {
        val sinceMs = if (nowMs < backlogUntilMs) pausedAtMs else previousTickAtMs
        return (nowMs - sinceMs).takeIf { it > PAUSE_MS } ?: 0
    }

    private fun noticePause(sinceMs: Long, backlogMs: Long) {
        pausedAtMs = sinceMs
        backlogUntilMs = maxOf(backlogUntilMs, nowMs() + backlogMs)
    }

    /**
     * The machine has been suspended for [forMs] until just now. Unlike a paused process, it has not received what was
     * sent to it, so requests of that time arrive later.
     */
    internal fun onSuspended(forMs: Long) = noticePause(nowMs() - forMs, RETRANSMISSION_MS)

    /** Runs [job] and calls [onResult] once. Returns the handle for [cancel]. */
    public fun submit(
        job: JobRequest,
        requestId: String,
        timeoutMs: Long,
        onResult: (JobResult) -> Unit,
    ): Long {
        val nowMs = nowMs()
        val unreadMs = unreadMs(nowMs)
        val request = PendingRequest(nextNumber++, job, requestId, nowMs, unreadMs, nowMs + timeoutMs, onResult)
        val earlier = pending.values.filter { it.job.id == job.id }
        request.mayHaveRun = earlier.isNotEmpty()
        pending[request.handle] = request
        val owner = ownerOf(earlier) ?: ownerClient.ownerOrNull()
        log.event(
            "entry", "job-received", "request", requestId, "job", job.id, "queue", job.queue,
            "tasks", job.steps.sumOf { it.taskCount }, "timeoutMs", timeoutMs, "owner", owner, "entry", request.handle,
            "unreadMs", unreadMs,
        )
        if (owner == null) {
            finish(
                request,
                JobResult.NotRun(NotRunCode.NO_OWNER, "no instance owns the backend servers", NO_OWNER_RETRY_MS),
            )
        } else {
            send(request, owner)
        }
        return request.handle
    }

    /**
     * The owner at which one of [requests] is open, if it can still be reached. A caller that comes again may have left
     * without notice; another owner would run the job beside the first one.
     */
    private fun ownerOf(requests: List<PendingRequest>): String? =
        requests.mapNotNull { it.owner }.lastOrNull { ownerClient.isAlive(it) && ownerClient.isOwner(it) }

    /** Withdraws a request whose caller has disconnected. */
    public fun cancel(handle: Long) {
        val request = pending[handle] ?: return
        remove(request)
        log.event(
            "entry",
            "caller-left",
            "request",
            request.requestId,
            "job",
            request.job.id,
            "afterMs",
            nowMs() - request.arrivedAtMs,
        )
        request.owner?.let { withdraw(request, it) }
    }

    /** Answers the requests for [job], which was cancelled for all callers. */
    internal fun cancelAll(job: JobId) {
        for (request in pending.values.filter { it.job.id == job }) {
            val owner = request.owner
            finish(request, JobResult.Cancelled)
            owner?.let { withdraw(request, it) }
        }
    }

    /** Answers all open requests, since this instance is about to end. Callers may repeat them at other instances. */
    public fun abandonAll() {
        for (request in pending.values.toList()) {
            val owner = request.owner
            finish(request, JobResult.Abandoned("this instance stops"))
            owner?.let { withdraw(request, it) }
        }
    }

    private fun withdraw(request: PendingRequest, owner: String) =
        ownerClient.cancel(owner, PeerMessage.Cancel(request.number, request.job.id))

    private fun send(request: PendingRequest, owner: String) {
        val nowMs = nowMs()
        if (request.owner != owner) {
            pendingByNumber.remove(request.number)
            request.number = nextNumber++
            request.isRepeated = false
            pendingByNumber[request.number] = request
        }
        request.owner = owner
        request.ownerIncarnation = ownerClient.incarnationOrNull(owner)
        request.ownershipLostAtMs = NEVER_MS
        val progress = request.progress ?: if (request.mayHaveRun) JobProgress() else null
        val message = PeerMessage.Submit(
            request.number,
            request.job,
            timeoutMs = (request.deadlineMs - nowMs).coerceAtLeast(0),
            waitedMs = nowMs - request.arrivedAtMs,
            progress = progress,
            unreadMs = request.unreadMs,
        )
        ownerClient.submit(owner, message)
        // From now on this owner may start any task, which the report of an earlier owner doesn't tell.
        request.progress = progress?.copy(ordered = null)
    }

    /** The pending request with [number], provided that it is for [job]. */
    private fun find(number: Long, job: JobId): PendingRequest? = pendingByNumber[number]?.takeIf { it.job.id == job }

    internal fun onResult(number: Long, job: JobId, result: JobResult) {
        val request = find(number, job) ?: return
        if (result !is JobResult.NotRun || request.mayHaveRun) return finish(request, result)
        val refusal = earlierRetry(request.refusal, result) ?: return finish(request, result)
        request.refusal = refusal
        request.refusedBy += request.owner ?: return finish(request, refusal)
        val next = nextOwnerOrNull(request)
        if (next == null) {
            if (request.refusedBy.size > 1) forwardedInVain++
            return finish(request, refusal)
        }
        log.event(
            "entry", "job-forwarded", "request", request.requestId, "job", request.job.id,
            "from", request.owner, "to", next.owner, "loadPercent", next.loadPercent,
            "refusedBy", request.refusedBy.size, "code", result.code, "afterMs", nowMs() - request.arrivedAtMs,
        )
        forwarded++
        send(request, next.owner)
    }

    /**
     * The refusal to report: that for overload with the earlier retry. An owner may refuse a forwarded job for a reason
     * that only holds for its own backend servers. Null if neither is for overload.
     */
    private fun earlierRetry(known: JobResult.NotRun?, next: JobResult.NotRun): JobResult.NotRun? =
        listOfNotNull(known, next.takeIf { it.code == NotRunCode.OVERLOAD })
            .minByOrNull { it.retryAfterMs ?: Long.MAX_VALUE }

    /** The next owner for a refused job; null if all were asked, none has capacity or the time is over. */
    private fun nextOwnerOrNull(request: PendingRequest): ReportedLoad? {
        if (nowMs() >= request.deadlineMs) return null
        return ownerClient.nextOrNull(request.refusedBy)?.takeIf { it.owner !in request.refusedBy }
    }

    /** Turns "not run" into "abandoned" if a previous owner may have started tasks, which the last one can't know. */
    private fun adjustRefusal(request: PendingRequest, result: JobResult): JobResult =
        if (result is JobResult.NotRun && request.mayHaveRun) {
            JobResult.Abandoned("refused by the next owner, may have run: ${result.reason}")
        } else {
            result
        }

    /** @param openAt owner at which the job is open; null if none is known. */
    internal fun onMoved(number: Long, job: JobId, progress: JobProgress, openAt: String? = null) {
        val request = find(number, job) ?: return
        log.event(
            "entry", "job-moved", "request", request.requestId, "job", request.job.id,
            "from", request.owner, "done", progress.done.size, "ordered", progress.ordered?.size,
            "runsEndInMs", progress.runsEndInMs, "openAt", openAt,
        )
        // The owner may have accepted the job since, if it has received it twice.
        if (request.isRepeated) request.owner?.let { withdraw(request, it) }
        val isCertain = !request.isRepeated && !request.hasJoined
        request.progress = if (isCertain) progress else progress.copy(ordered = null)
        request.owner = null
        if (openAt != null && ownerClient.isAlive(openAt) && ownerClient.isOwner(openAt)) {
            request.mayHaveRun = true
            request.hasJoined = true
            send(request, openAt)
        } else {
            reroute(request)
        }
    }

    /** Owners at which this instance has requests open. */
    internal fun owners(): Set<String> = pending.values.mapNotNullTo(HashSet()) { it.owner }

    /** Numbers of the requests that this instance has open, by owner. */
    internal fun openRequestsByOwner(): Map<String, List<Long>> {
        val byOwner = HashMap<String, ArrayList<Long>>()
        for (request in pending.values) {
            request.owner?.let { byOwner.getOrPut(it) { ArrayList() } += request.number }
        }
        return byOwner
    }

    /** Numbers of the requests that this instance has open at [owner]. */
    internal fun openRequestsAt(owner: String): List<Long> =
        pending.values.filter { it.owner == owner }.map { it.number }

    /**
     * Resubmits all requests that are open at [owner], since messages on earlier connections may have been lost. The
     * same process still has the jobs that it has received; a restarted one may find their tasks running.
     */
    internal fun onReconnected(owner: String) {
        val incarnation = ownerClient.incarnationOrNull(owner)
        for (request in pending.values.filter { it.owner == owner }) {
            if (incarnation == null || request.ownerIncarnation != incarnation) request.mayHaveRun = true
            request.isRepeated = true
            send(request, owner)
            request.mayHaveRun = true
        }
    }

    private fun reroute(request: PendingRequest) {
        request.mayHaveRun = true
        val owner = ownerClient.ownerOrNull() ?: return
        log.event(
            "entry", "job-rerouted", "request", request.requestId, "job", request.job.id,
            "from", request.owner, "to", owner, "afterMs", nowMs() - request.arrivedAtMs,
            "ordered", request.progress?.ordered?.size,
        )
        // An owner that this instance can't reach may still receive its messages and would continue the job.
        request.owner?.takeIf { it != owner }?.let { withdraw(request, it) }
        send(request, owner)
    }

    /** Resubmits jobs whose owner is lost and abandons jobs whose caller's deadline has passed. */
    public fun tick() {
        val nowMs = nowMs()
        if (nowMs - tickedAtMs > PAUSE_MS) noticePause(tickedAtMs, BACKLOG_MS)
        previousTickAtMs = tickedAtMs
        tickedAtMs = nowMs
        for (request in pending.values.toList()) {
            val owner = request.owner
            if (nowMs >= request.deadlineMs) {
                finish(request, JobResult.Abandoned("no result at the caller's deadline"))
                owner?.let { withdraw(request, it) }
            } else if (owner == null || !ownerClient.isAlive(owner)) {
                reroute(request)
            } else if (ownerClient.isOwner(owner)) {
                request.ownershipLostAtMs = NEVER_MS
            } else {
                awaitHandover(request, nowMs)
            }
        }
    }

    /**
     * Waits for the progress that an owner reports when it hands over. With the progress, the next owner can start
     * tasks without waiting for the lease of unknown runs.
     */
    private fun awaitHandover(request: PendingRequest, nowMs: Long) {
        if (request.ownershipLostAtMs == NEVER_MS) request.ownershipLostAtMs = nowMs
        if (nowMs - request.ownershipLostAtMs >= HANDOVER_WAIT_MS) reroute(request)
    }

    private fun remove(request: PendingRequest) {
        pending.remove(request.handle)
        pendingByNumber.remove(request.number)
    }

    private fun finish(request: PendingRequest, given: JobResult) {
        remove(request)
        val result = adjustRefusal(request, given)
        log.event(
            "entry", "job-answered", "request", request.requestId, "job", request.job.id, "result", result,
            "owner", request.owner, "tookMs", nowMs() - request.arrivedAtMs,
        )
        request.onResult(result)
    }

    private companion object {
        /** Time within which a packet that was lost for a few seconds is sent again, and some of its successors. */
        const val RETRANSMISSION_MS = 2_000L

        /** Keeps the numbers in heartbeats short; the requests of two processes rarely overlap. */
        const val MAX_FIRST_NUMBER = 1_000_000_000L

        /** In the fault soak, requests were read 0.2 s after a pause of 2.9 s. */
        const val BACKLOG_MS = 400L

        /** Several heartbeat intervals. */
        const val HANDOVER_WAIT_MS = 300L

        /** A takeover takes about one second. */
        const val NO_OWNER_RETRY_MS = 1_000L
    }
}

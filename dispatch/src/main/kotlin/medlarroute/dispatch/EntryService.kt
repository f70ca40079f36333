package medlarroute.dispatch

import kotlin.time.TimeSource

/** Sends jobs to the owner of the backend servers. */
internal interface OwnerLink {
    /** The instance that takes jobs now, this one included; null if there is none. */
    fun ownerOrNull(): String?

    /** An owner other than [owner] that has room for jobs which [owner] has refused; null if there is none. */
    fun lessLoadedOrNull(owner: String): String?

    /** Whether [instance] is heard and takes jobs. */
    fun isOwner(instance: String): Boolean

    /** Whether [instance] is heard. */
    fun isAlive(instance: String): Boolean

    fun submit(owner: String, message: PeerMessage.Submit)

    fun cancel(owner: String, message: PeerMessage.Cancel)
}

/**
 * Holds the requests of this instance's callers until each has its one result.
 *
 * A job goes to the owner of the backend servers. If the owner hands over, dies or goes out of sight, the job goes to
 * the next one with what is known of its progress. Not thread-safe.
 */
public class EntryService internal constructor(
    clock: TimeSource.WithComparableMarks,
    private val link: OwnerLink,
    private val log: EventLog,
) {
    private class Pending(
        val handle: Long,
        val request: JobRequest,
        val requestId: String,
        val arrivedAtMs: Long,
        val deadlineMs: Long,
        val onResult: (JobResult) -> Unit,
    ) {
        var owner: String? = null

        /** Names the request at [owner]. Each owner gets another one, so that none answers for an earlier attempt. */
        var number = 0L

        /** An owner that did not refuse it may have started tasks. */
        var mayHaveRun = false
        var progress: JobProgress? = null
        var disownedAtMs = NEVER_MS

        /** Sent to a second owner after the first refused it. */
        var overflowed = false
    }

    private val elapsed = ElapsedClock(clock)
    private val pending = LinkedHashMap<Long, Pending>()
    private val byNumber = HashMap<Long, Pending>()
    private var nextNumber = 1L

    public val openRequests: Int get() = pending.size

    private fun nowMs() = elapsed.nowMs()

    /** Runs [request]; [onResult] is called once. Returns the handle to [cancel] it with. */
    public fun submit(
        request: JobRequest,
        requestId: String,
        timeoutMs: Long,
        onResult: (JobResult) -> Unit,
    ): Long {
        val nowMs = nowMs()
        val entry = Pending(nextNumber++, request, requestId, nowMs, nowMs + timeoutMs, onResult)
        pending[entry.handle] = entry
        val owner = link.ownerOrNull()
        log.event(
            "entry", "job-received", "request", requestId, "job", request.id, "queue", request.queue,
            "tasks",
            request.steps.sumOf {
                it.taskCount
            },
            "timeoutMs", timeoutMs, "owner", owner, "entry", entry.handle,
        )
        if (owner == null) {
            finish(
                entry,
                JobResult.NotRun(NotRunCode.NO_OWNER, "no instance orders the backend servers", NO_OWNER_RETRY_MS),
            )
        } else {
            send(entry, owner)
        }
        return entry.handle
    }

    /** The caller has left. */
    public fun cancel(handle: Long) {
        val entry = pending[handle] ?: return
        remove(entry)
        log.event(
            "entry",
            "caller-left",
            "request",
            entry.requestId,
            "job",
            entry.request.id,
            "afterMs",
            nowMs() - entry.arrivedAtMs,
        )
        entry.owner?.let { withdraw(entry, it) }
    }

    private fun withdraw(entry: Pending, owner: String) =
        link.cancel(owner, PeerMessage.Cancel(entry.number, entry.request.id))

    private fun send(entry: Pending, owner: String) {
        val nowMs = nowMs()
        if (entry.owner != owner) {
            byNumber.remove(entry.number)
            entry.number = nextNumber++
            byNumber[entry.number] = entry
        }
        entry.owner = owner
        entry.disownedAtMs = NEVER_MS
        val progress = entry.progress ?: if (entry.mayHaveRun) JobProgress() else null
        val message = PeerMessage.Submit(
            entry.number,
            entry.request,
            timeoutMs = (entry.deadlineMs - nowMs).coerceAtLeast(0),
            waitedMs = nowMs - entry.arrivedAtMs,
            progress = progress,
        )
        link.submit(owner, message)
    }

    /** The request that [number] names. A former life of this instance may have used the number for another job. */
    private fun find(number: Long, job: JobId): Pending? = byNumber[number]?.takeIf { it.request.id == job }

    internal fun ended(number: Long, job: JobId, result: JobResult) {
        val entry = find(number, job) ?: return
        val other = if (isOverload(result) && !entry.overflowed &&
            !entry.mayHaveRun
        ) {
            entry.owner?.let(link::lessLoadedOrNull)
        } else {
            null
        }
        if (other == null) return finish(entry, result)
        log.event(
            "entry", "job-overflowed", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "to", other,
        )
        entry.overflowed = true
        send(entry, other)
    }

    /** An owner's "not run" says nothing about the owners before it. */
    private fun truthful(entry: Pending, result: JobResult): JobResult =
        if (result is JobResult.NotRun && entry.mayHaveRun) {
            JobResult.Abandoned("refused by the next owner, may have run: ${result.reason}")
        } else {
            result
        }

    private fun isOverload(result: JobResult) = result is JobResult.NotRun && result.code == NotRunCode.OVERLOAD

    internal fun moved(number: Long, job: JobId, progress: JobProgress) {
        val entry = find(number, job) ?: return
        log.event(
            "entry", "job-moved", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "done", progress.done.size,
        )
        entry.progress = progress
        entry.owner = null
        reroute(entry)
    }

    /** Numbers of the requests that [owner] has from this instance. */
    internal fun openAt(owner: String): List<Long> = pending.values.filter { it.owner == owner }.map { it.number }

    /** Messages on earlier connections to [owner] may be lost. */
    internal fun reconnected(owner: String) {
        for (entry in pending.values.filter { it.owner == owner }) {
            send(entry, owner)
            entry.mayHaveRun = true
        }
    }

    private fun reroute(entry: Pending) {
        entry.mayHaveRun = true
        val owner = link.ownerOrNull() ?: return
        log.event(
            "entry", "job-rerouted", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "to", owner, "afterMs", nowMs() - entry.arrivedAtMs,
        )
        // An owner out of sight may still see this instance, and would go on with the job.
        entry.owner?.takeIf { it != owner }?.let { withdraw(entry, it) }
        send(entry, owner)
    }

    /** Moves jobs whose owner is gone and gives up jobs whose caller's time is over. */
    public fun tick() {
        val nowMs = nowMs()
        for (entry in pending.values.toList()) {
            val owner = entry.owner
            if (nowMs >= entry.deadlineMs) {
                finish(entry, JobResult.Abandoned("no result at the caller's deadline"))
                owner?.let { withdraw(entry, it) }
            } else if (owner == null || !link.isAlive(owner)) {
                reroute(entry)
            } else if (link.isOwner(owner)) {
                entry.disownedAtMs = NEVER_MS
            } else {
                awaitMoved(entry, nowMs)
            }
        }
    }

    /** An owner that gives up tells what it knows of each job, which spares the next one a wait. */
    private fun awaitMoved(entry: Pending, nowMs: Long) {
        if (entry.disownedAtMs == NEVER_MS) entry.disownedAtMs = nowMs
        if (nowMs - entry.disownedAtMs >= MOVED_WAIT_MS) reroute(entry)
    }

    private fun remove(entry: Pending) {
        pending.remove(entry.handle)
        byNumber.remove(entry.number)
    }

    private fun finish(entry: Pending, given: JobResult) {
        remove(entry)
        val result = truthful(entry, given)
        log.event(
            "entry", "job-answered", "request", entry.requestId, "job", entry.request.id, "result", result,
            "owner", entry.owner, "tookMs", nowMs() - entry.arrivedAtMs,
        )
        entry.onResult(result)
    }

    private companion object {
        /** Several heartbeats. */
        const val MOVED_WAIT_MS = 300L

        /** A takeover takes about a second. */
        const val NO_OWNER_RETRY_MS = 1_000L
    }
}

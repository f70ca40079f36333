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
        val number: Long,
        val request: JobRequest,
        val requestId: String,
        val arrivedAtMs: Long,
        val deadlineMs: Long,
        val onResult: (JobResult) -> Unit,
    ) {
        var owner: String? = null
        var sent = false
        var progress: JobProgress? = null
        var disownedAtMs = NEVER_MS

        /** Sent to a second owner after the first refused it. */
        var overflowed = false
    }

    private val origin = clock.markNow()
    private val pending = LinkedHashMap<Long, Pending>()
    private var nextNumber = 1L

    public val openRequests: Int get() = pending.size

    private fun nowMs() = origin.elapsedNow().inWholeMilliseconds

    /** Runs [request]; [onResult] is called once. Returns the number to [cancel] it with. */
    public fun submit(
        request: JobRequest,
        requestId: String,
        timeoutMs: Long,
        onResult: (JobResult) -> Unit,
    ): Long {
        val nowMs = nowMs()
        val entry = Pending(nextNumber++, request, requestId, nowMs, nowMs + timeoutMs, onResult)
        pending[entry.number] = entry
        val owner = link.ownerOrNull()
        log.event(
            "entry", "job-received", "request", requestId, "job", request.id, "queue", request.queue,
            "tasks",
            request.steps.sumOf {
                it.taskCount
            },
            "timeoutMs", timeoutMs, "owner", owner, "entry", entry.number,
        )
        if (owner == null) {
            finish(
                entry,
                JobResult.NotRun(NotRunCode.NO_OWNER, "no instance orders the backend servers", NO_OWNER_RETRY_MS),
            )
        } else {
            send(entry, owner)
        }
        return entry.number
    }

    /** The caller has left. */
    public fun cancel(number: Long) {
        val entry = pending.remove(number) ?: return
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
        entry.owner?.let { link.cancel(it, PeerMessage.Cancel(entry.number, entry.request.id)) }
    }

    private fun send(entry: Pending, owner: String) {
        val nowMs = nowMs()
        entry.owner = owner
        entry.disownedAtMs = NEVER_MS
        val progress = entry.progress ?: if (entry.sent) JobProgress() else null
        entry.sent = true
        val message = PeerMessage.Submit(
            entry.number,
            entry.request,
            timeoutMs = (entry.deadlineMs - nowMs).coerceAtLeast(0),
            waitedMs = nowMs - entry.arrivedAtMs,
            progress = progress,
        )
        link.submit(owner, message)
    }

    internal fun ended(number: Long, result: JobResult) {
        val entry = pending[number] ?: return
        val other = if (isOverload(result) && !entry.overflowed) entry.owner?.let(link::lessLoadedOrNull) else null
        if (other == null) return finish(entry, result)
        log.event(
            "entry", "job-overflowed", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "to", other,
        )
        entry.overflowed = true
        entry.sent = false
        send(entry, other)
    }

    private fun isOverload(result: JobResult) = result is JobResult.NotRun && result.code == NotRunCode.OVERLOAD

    internal fun moved(number: Long, progress: JobProgress) {
        val entry = pending[number] ?: return
        log.event(
            "entry", "job-moved", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "done", progress.done.size,
        )
        entry.progress = progress
        entry.owner = null
        reroute(entry)
    }

    /** Messages on earlier connections to [owner] may be lost. */
    internal fun reconnected(owner: String) {
        pending.values.filter { it.owner == owner }.forEach { send(it, owner) }
    }

    private fun reroute(entry: Pending) {
        val owner = link.ownerOrNull() ?: return
        log.event(
            "entry", "job-rerouted", "request", entry.requestId, "job", entry.request.id,
            "from", entry.owner, "to", owner, "afterMs", nowMs() - entry.arrivedAtMs,
        )
        send(entry, owner)
    }

    /** Moves jobs whose owner is gone and gives up jobs whose caller's time is over. */
    public fun tick() {
        val nowMs = nowMs()
        for (entry in pending.values.toList()) {
            val owner = entry.owner
            if (nowMs >= entry.deadlineMs) {
                finish(entry, JobResult.Abandoned("no result at the caller's deadline"))
                owner?.let { link.cancel(it, PeerMessage.Cancel(entry.number, entry.request.id)) }
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

    private fun finish(entry: Pending, result: JobResult) {
        pending.remove(entry.number)
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

package medlarroute.dispatch

import medlarroute.dispatch.slowstart.CoreLimit

/** Row of the backend server table. */
internal class BackendRow(var info: BackendInfo, val lease: BackendLease, val clock: BackendClock) {
    val tasks = LinkedHashMap<TaskKey, TaskRow>()

    /** Runs that belong to no job here. */
    val unknownRuns = HashMap<TaskKey, UnknownRun>()

    /** Tasks that an unknown run has completed, with the time of the report. A resubmitted job may claim them. */
    val unclaimedCompletions = LinkedHashMap<TaskKey, Long>()
    var free = info.capacity

    /** Largest capacity that was listed. */
    var largestCapacity = info.capacity
        private set

    /** Whether the listed capacity and labels are those of the present process. */
    var isDescribed = true

    /** Time of the first report after the backend server was unknown or unreachable. */
    var reachedAtMs = NEVER_MS

    /** Highest [RunEnd.number] that was processed. */
    var acknowledgedEnd = 0L

    /** Ended processes. The list of backend servers may still name one after a poll has reported its successor. */
    val formerIncarnations = HashSet<Long>()

    var lastReportAtMs = NEVER_MS
    var pollSentAtMs = 0L
    var pollInFlight = false

    /** How long the last poll may wait for a run to end. */
    var pollWaitMs = 0L

    /** Whether the last poll extended the lease for too short a time for new starts, or not at all. */
    var isLeaseLimited = false

    /** Identifies the poll in flight, so that late responses of abandoned polls are ignored. */
    var pollNumber = 0L

    var unreachableSinceMs = NEVER_MS

    /** Whether another process has its address. It is back only if it is listed with another address or process. */
    var isDisplaced = false

    /** Whether the last poll or start was refused: no process listens at the address, or a partition rejects it. */
    var isRefusing = false

    /** Whether the backend server has closed the connection of a poll, and has not been reached since. */
    var isClosed = false

    /** Runs whose leases have expired while the backend server was silent. It may turn out to have crashed. */
    var lapsedRuns: Map<TaskKey, LostRun> = emptyMap()

    /**
     * The runs of [tasks], of which the loss is noticed at [nowMs] or was noticed when the backend server became
     * unreachable. They may have ended before if their lease had: an owner that was suspended notices a loss late.
     */
    fun lostRuns(nowMs: Long): Map<TaskKey, LostRun> {
        val noticedAtMs = if (isUnreachable) unreachableSinceMs else nowMs
        val isLeased = lease.latestEndMs >= noticedAtMs
        return tasks.mapValues { (_, task) -> LostRun(task.run, isLeased && task.state == TaskState.RUNNING) }
    }

    /** Estimated speed; run times are inversely proportional to it. */
    var speed = 1.0
    var failuresInRow = 0

    /** Time at which a start without a response was last counted as a failure. */
    var unansweredAtMs = NEVER_MS
    var ejectedUntilMs = NEVER_MS
    var ejections = 0

    /** End of a pause after the backend server has rejected a start for lack of capacity. */
    var pausedUntilMs = NEVER_MS

    val isUnreachable: Boolean get() = unreachableSinceMs != NEVER_MS
    val isIdle: Boolean get() = tasks.isEmpty() && unknownRuns.isEmpty()
    val isOnProbation: Boolean get() = ejections > 0

    /** After an ejection, one task at a time tests whether the backend server has recovered. */
    val isBeingProbed: Boolean get() = isOnProbation && tasks.isNotEmpty()

    /** Whether its failure domain is evacuated: it starts no new tasks, and those that run there may end. */
    var isEvacuated = false

    /** Limits the cores in use after it has begun or returned to service; null if it was never limited. */
    var coreLimit: CoreLimit? = null

    /** Incarnation that was last listed as cold. */
    var coldIncarnation = NEVER_MS

    private val usedMillis: Int get() = info.capacity.cpuMillis - free.cpuMillis

    /** Cores that may be in use at once, in thousandths. */
    fun limitMillis(nowMs: Long): Int =
        coreLimit?.limitMillis(info.capacity.cpuMillis, nowMs)?.coerceAtLeast(usedMillis) ?: info.capacity.cpuMillis

    /** Whether the limit on its cores leaves no room for another task of [demand]. One task always fits. */
    fun isLimited(demand: Resources, nowMs: Long): Boolean =
        coreLimit != null && tasks.isNotEmpty() && usedMillis + demand.cpuMillis > limitMillis(nowMs)

    /** How many tasks of [demand] can be started in addition. */
    fun fitCount(demand: Resources, nowMs: Long): Int {
        val count = free.fitCount(demand)
        if (coreLimit == null || demand.cpuMillis == 0) return count
        val underLimit = (limitMillis(nowMs) - usedMillis) / demand.cpuMillis
        return minOf(count, maxOf(underLimit, if (tasks.isEmpty()) 1 else 0))
    }

    /** Whether it contributes to the capacity: neither draining, evacuated, unreachable nor ejected. */
    fun isServing(nowMs: Long): Boolean =
        !info.draining && !isEvacuated && !isUnreachable && !isDisplaced && ejectedUntilMs <= nowMs

    fun hasLabel(required: String?): Boolean = required == null || (isDescribed && required in info.labels)

    /** The list reports another process, which has no runs yet. */
    fun replaceInfo(listed: BackendInfo) {
        info = listed
        free = listed.capacity
        largestCapacity = largestCapacity.coerceAtLeast(listed.capacity)
        isDescribed = true
        isDisplaced = false
    }

    fun resize(capacity: Resources) {
        free += capacity - info.capacity
        info = info.copy(capacity = capacity)
        largestCapacity = largestCapacity.coerceAtLeast(capacity)
    }

    fun reserve(task: TaskRow) {
        tasks[task.key] = task
        task.backend = this
        free -= task.step.demand
    }

    fun release(task: TaskRow) {
        if (tasks.remove(task.key, task)) free += task.step.demand
        task.backend = null
    }

    fun backendClockMs(nowMs: Long): Long? = clock.estimateMs(nowMs)
}

/** A run that may be lost with its backend server. Unless [isConfirmed], it may not have begun or have ended before. */
internal class LostRun(val run: Int, val isConfirmed: Boolean)

/** A run reported by a backend server that belongs to no job here. */
internal class UnknownRun(val run: Int, val firstReportedMs: Long, var stopSentAtMs: Long = NEVER_MS) {
    /** Time of the first report that lists neither the run nor its end. */
    var missingSinceMs = NEVER_MS

    /** Time at which the other owners were told of it. */
    var announcedAtMs = NEVER_MS
}

package medlarroute.dispatch

/**
 * Runs that may be active, by task, with the latest time at which each ends.
 *
 * This is the only record that decides whether another run of a task may start. A run is entered when its start is
 * sent, when a backend server reports it, or when a previous owner may have started it. It is removed when there is
 * evidence of its end: the backend server has rejected the start, lists its end, no longer lists the run or runs as
 * another process, or the time has passed. Changes of the list of backend servers and ends of jobs remove nothing.
 */
internal class ActiveRunTable {
    private val leases = HashMap<String, BackendLease>()
    private val runsByTask = HashMap<TaskKey, ArrayList<ActiveRun>>()
    private var prunedAtMs = NEVER_MS

    /** The lease of the runs on a backend server. It is kept while the backend server is not listed. */
    fun lease(backend: BackendInfo): BackendLease =
        leases.getOrPut(backend.id) { BackendLease(backend.id, backend.failureDomain) }

    /** Another owner may extend the leases that [isAffected] selects by [extensionMs]. */
    fun extendByOtherOwner(extensionMs: Long, nowMs: Long, isAffected: (BackendLease) -> Boolean) {
        leases.values.filter { it.runs.isNotEmpty() && isAffected(it) }
            .forEach { it.otherOwnerEndMs = maxOf(it.otherOwnerEndMs, maxOf(it.endMs, nowMs) + extensionMs) }
    }

    /** A start is sent. The backend server rejects it after [validUntilMs] on its own clock. */
    fun recordOrdered(task: TaskKey, run: Int, row: BackendRow, validUntilMs: Long) {
        add(ActiveRun(task, run, row.lease, row.info.incarnation, validUntilMs))
    }

    /** The backend server has confirmed the start at [clockMs] on its own clock. */
    fun recordConfirmed(task: TaskKey, run: Int, row: BackendRow, clockMs: Long) {
        val active = row.lease.find(task, run) ?: return
        active.isConfirmed = true
        active.listedFromMs = clockMs
    }

    /** The backend server lists the run as active at [clockMs] on its own clock. */
    fun recordReported(task: TaskKey, run: Int, row: BackendRow, clockMs: Long) {
        val active = row.lease.find(task, run)
            ?: ActiveRun(task, run, row.lease, row.info.incarnation, clockMs).also(::add)
        active.isConfirmed = true
        active.listedFromMs = clockMs
        active.endsByMs = Long.MAX_VALUE
    }

    /**
     * Another owner may have granted a lease until [untilMs] to the runs of the backend server.
     */
    fun recordForeignLease(row: BackendRow, untilMs: Long) {
        row.lease.otherOwnerEndMs = maxOf(row.lease.otherOwnerEndMs, untilMs)
    }

    /**
     * A run of [task] may be active on an unknown backend server until [untilMs], also if another one is found
     * meanwhile: a previous owner that has not been told of its replacement starts the task again when that one ends.
     */
    fun recordUnplaced(task: TaskKey, untilMs: Long) {
        val known = runsByTask[task]?.find { it.lease == null }
        val active = known ?: ActiveRun(task, run = 0, lease = null, incarnation = 0, listedFromMs = 0).also(::add)
        active.endsByMs = if (known == null) untilMs else maxOf(known.endsByMs, untilMs)
    }

    /** The backend server has rejected the start of the run. */
    fun recordRejected(task: TaskKey, run: Int, row: BackendRow) {
        row.lease.find(task, run)?.let(::remove)
    }

    /** The backend server has acknowledged a stop of the run, which takes up to [STOP_MARGIN_MS]. */
    fun recordStopped(command: StopCommand, nowMs: Long) {
        val active = leases[command.backend.id]?.find(command.task, command.run) ?: return
        active.endsByMs = minOf(active.endsByMs, nowMs + STOP_MARGIN_MS)
    }

    /** The backend server lists the end of [run] of [task]; earlier runs there have ended before. */
    fun recordEnded(task: TaskKey, run: Int, row: BackendRow) {
        row.lease.runs.filter { it.task == task && it.run <= run }.forEach(::remove)
    }

    /** Removes runs of other processes, and those that the backend server does not list at [clockMs] on its clock. */
    fun reconcile(row: BackendRow, listed: Map<TaskKey, RunProgress>, clockMs: Long, nowMs: Long) {
        for (active in row.lease.runs.toList()) {
            if (active.isOfOtherProcess(row.info.incarnation)) {
                remove(active)
            } else if (listed[active.task]?.run != active.run && clockMs > active.listedFromMs) {
                // A start that was never confirmed is rejected from now on. A run that is being stopped may be active.
                if (active.isConfirmed) {
                    active.endsByMs = minOf(active.endsByMs, nowMs + STOP_MARGIN_MS)
                } else {
                    remove(active)
                }
            }
        }
    }

    /** A run of [task] that may be active at [nowMs]; null if there is none. */
    fun findActive(task: TaskKey, nowMs: Long): ActiveRun? = runsByTask[task]?.maxByOrNull { it.endMs }
        ?.takeIf { it.endMs >= nowMs }

    /** Highest number of the recorded runs of [task]; 0 if there is none. */
    fun highestRun(task: TaskKey): Int = runsByTask[task]?.maxOf { it.run } ?: 0

    /** Removes the runs that have ended, and the leases without runs of backend servers that [isListed] rejects. */
    fun prune(nowMs: Long, isListed: (String) -> Boolean) {
        if (nowMs - prunedAtMs < PRUNE_INTERVAL_MS) return
        prunedAtMs = nowMs
        runsByTask.values.flatten().filter { it.endMs < nowMs }.forEach(::remove)
        leases.values.removeIf { it.runs.isEmpty() && !isListed(it.backend) }
    }

    private fun add(active: ActiveRun) {
        runsByTask.getOrPut(active.task) { ArrayList(1) } += active
        active.lease?.let { it.runs += active }
    }

    private fun remove(active: ActiveRun) {
        active.lease?.let { it.runs -= active }
        val runs = runsByTask[active.task] ?: return
        runs -= active
        if (runs.isEmpty()) runsByTask -= active.task
    }

    private companion object {
        const val PRUNE_INTERVAL_MS = 1_000L
    }
}

/** Lease of the runs on a backend server, with the runs that may be active there. */
internal class BackendLease(val backend: String, val failureDomain: String) {
    /** Latest end of any lease that this owner has granted, on the dispatcher's clock. */
    var endMs = NEVER_MS

    /**
     * The same without the margin for errors of the estimated clock of the backend server, also for leases that the
     * previous owner may have granted.
     */
    var grantedUntilMs = NEVER_MS

    /** Latest end of a lease that another owner may have granted, on the dispatcher's clock. */
    var otherOwnerEndMs = NEVER_MS
    val latestEndMs: Long get() = maxOf(endMs, otherOwnerEndMs)
    val runs = ArrayList<ActiveRun>()

    fun find(task: TaskKey, run: Int): ActiveRun? = runs.find { it.run == run && it.task == task }
}

/**
 * A run that may be active.
 *
 * @property lease null if the backend server is unknown.
 * @property listedFromMs time on the backend server's clock from which it lists the run while it is active.
 */
internal class ActiveRun(
    val task: TaskKey,
    val run: Int,
    val lease: BackendLease?,
    private val incarnation: Long,
    var listedFromMs: Long,
) {
    /** Whether the backend server has acknowledged the start or has listed the run. */
    var isConfirmed = false

    /** Latest end on the dispatcher's clock if that is before the end of the lease. */
    var endsByMs = Long.MAX_VALUE

    /** Latest end on the dispatcher's clock. */
    val endMs: Long
        get() = if (lease == null) endsByMs else minOf(endsByMs, lease.latestEndMs)

    fun isOfOtherProcess(current: Long): Boolean = incarnation != 0L && current != 0L && incarnation != current
}

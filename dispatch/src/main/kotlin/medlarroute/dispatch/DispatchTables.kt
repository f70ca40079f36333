package medlarroute.dispatch

/** Where a task stands. */
internal enum class TaskState {
    /** Steps before it are not done. */
    BLOCKED,

    /** Waits for a backend server. */
    QUEUED,

    /** Ordered; no response yet. */
    STARTING,

    /** Ordered; nothing shows whether it runs. */
    UNCERTAIN,

    /** Runs on its backend server. */
    RUNNING,
    DONE,
}

/** Row of the task table. Times are milliseconds on the dispatcher's clock. */
internal class TaskRow(val job: JobRow, val key: TaskKey, val step: StepRequest) {
    var state = TaskState.BLOCKED
    var backend: BackendRow? = null
    var run = 0

    /** It doesn't start before: a run that an earlier owner started may be alive and out of sight. */
    var startableAtMs = NEVER_MS

    /** Its run was started by an earlier owner. */
    var isAdopted = false
    var failures = 0
    var orderedAtMs = 0L

    /** Time on the backend server's clock after which its order is refused. */
    var validUntilMs = 0L

    /** Time on the backend server's clock at which the run was confirmed. */
    var confirmedAtMs = Long.MIN_VALUE
    var donePercent = -1
    var progressAtMs = 0L
    var stopAskedAtMs = NEVER_MS

    /** Backend servers where the task has failed. */
    val failedOn = ArrayList<BackendRow>(0)

    /** Its backend server is out of sight, and its run may be alive. */
    var isOrphan = false

    val isStopAsked: Boolean get() = stopAskedAtMs != NEVER_MS

    val isOrdered: Boolean
        get() = state == TaskState.STARTING || state == TaskState.UNCERTAIN || state == TaskState.RUNNING
}

/** Instance that waits for the result of a job, and its name for the request. */
public data class JobOrigin(public val instance: String, public val request: Long)

/** Row of the job table. */
internal class JobRow(val request: JobRequest, val queue: QueueSettings, val arrivedAtMs: Long, val deadlineMs: Long) {
    val origins = LinkedHashSet<JobOrigin>(1)
    val tasks: List<List<TaskRow>> = request.steps.mapIndexed { stepNumber, step ->
        List(step.taskCount) { TaskRow(this, TaskKey(request.id, stepNumber, it), step) }
    }
    var openTasks = tasks.sumOf { it.size }

    /** Expected run time of one task of each step at speed 1. */
    val estimatesMs = DoubleArray(request.steps.size)

    /** Expected run time of the longest chain at speed 1. */
    var chainMs = 0.0

    /** Latest start that lets the job end in time. */
    var latestStartMs = 0L

    /** Latest start that is worth anything to the caller. */
    var lastUsefulStartMs = 0L

    /** Earlier job of the same name, some of whose runs may be alive. */
    var predecessor: JobRow? = null

    /** Highest run number of earlier attempts; runs here are numbered from the next one. */
    var highestRun = 0

    /** Highest run number that was ordered here. */
    var newestRun = 0
    var everOrdered = false

    /** An earlier owner had it. */
    var isResumed = false

    /** Predicted wait before correction; 0 once it has been compared with the real one. */
    var predictedWaitMs = 0.0
    var firstOrderedAtMs = 0L
    var queuedTasks = 0
    var ended = false

    /** Whether a run of this job may be alive. */
    val hasRuns: Boolean get() = allTasks().any { it.backend != null || it.isOrphan }

    fun task(key: TaskKey): TaskRow? = tasks.getOrNull(key.step)?.getOrNull(key.index)

    fun allTasks(): Sequence<TaskRow> = tasks.asSequence().flatten()

    /** Thousandths of cores that the queued tasks need. */
    fun queuedMillis(): Long =
        allTasks().filter { it.state == TaskState.QUEUED }.sumOf { it.step.demand.cpuMillis.toLong() }

    /** Work of the queued tasks, in thousandths of core-milliseconds at speed 1. */
    fun queuedWork(): Double {
        var work = 0.0
        for (stepTasks in tasks) {
            for (task in stepTasks) {
                if (task.state == TaskState.QUEUED || task.state == TaskState.BLOCKED) {
                    work += estimatesMs[task.key.step] * task.step.demand.cpuMillis
                }
            }
        }
        return work
    }
}

/** Row of the backend server table. */
internal class BackendRow(var info: BackendInfo) {
    val tasks = LinkedHashMap<TaskKey, TaskRow>()

    /** Runs that no job here accounts for, with the time when each was first seen. */
    val unknownRuns = HashMap<TaskKey, UnknownRun>()

    /** Ends of unknown runs that a resubmitted job may still claim. */
    val unknownDone = LinkedHashMap<TaskKey, Long>()
    var free = info.capacity
    var acknowledgedEnd = 0L

    /** Processes that have ended. The list of backend servers may still name one after a look has shown the next. */
    val formerIncarnations = HashSet<Long>()

    /** The backend server's clock minus the dispatcher's, as of the last response; null before the first. */
    var clockOffsetMs: Long? = null
    var seenAtMs = NEVER_MS
    var lookSentAtMs = 0L
    var looking = false

    /** Identifies the look in flight, so that a late response of an abandoned look is ignored. */
    var lookNumber = 0L

    /** Latest end, on the dispatcher's clock, of any lease that was granted. */
    var leaseEndMs = NEVER_MS
    var unreachableSinceMs = NEVER_MS
    var removed = false
    var speed = 1.0
    var failuresInRow = 0
    var ejectedUntilMs = NEVER_MS
    var ejections = 0
    var heldUntilMs = NEVER_MS

    val isUnreachable: Boolean get() = unreachableSinceMs != NEVER_MS
    val isProbation: Boolean get() = ejections > 0

    /** After an ejection one task at a time shows whether it works again. */
    val isBeingProbed: Boolean get() = isProbation && tasks.isNotEmpty()

    /** Whether it counts as capacity. */
    fun isServing(nowMs: Long): Boolean = !info.draining && !isUnreachable && ejectedUntilMs <= nowMs

    fun occupy(task: TaskRow) {
        tasks[task.key] = task
        task.backend = this
        free -= task.step.demand
    }

    fun vacate(task: TaskRow) {
        if (tasks.remove(task.key) != null) free += task.step.demand
        task.backend = null
    }

    fun clockAt(nowMs: Long): Long? = clockOffsetMs?.let { it + nowMs }
}

/** A run that was found on a backend server. */
internal class UnknownRun(val run: Int, val firstSeenMs: Long, var stopSentAtMs: Long = NEVER_MS)

/** All state of the dispatcher. Owned by one thread. */
internal class DispatchTables {
    val jobs = LinkedHashMap<JobId, JobRow>()

    /** Jobs with queued tasks, in the order in which they are served. */
    val waiting = ArrayList<JobRow>()
    val backends = LinkedHashMap<String, BackendRow>()

    /** Token of each owned failure domain, by its name. */
    val tokens = HashMap<String, Long>()
    val ownedSinceMs = HashMap<String, Long>()

    /** Ended jobs of which runs may be alive. */
    val ending = HashMap<JobId, JobRow>()
    val waitEstimate = WaitEstimate()
    val runTimes = HashMap<QueueId, RunTimeEstimate>()
    var configuration: DispatchConfiguration? = null
    var waitingIsDirty = false

    fun backendsIn(failureDomain: String): List<BackendRow> =
        backends.values.filter { it.info.failureDomain == failureDomain }

    fun token(backend: BackendRow): Long? = tokens[backend.info.failureDomain]
}

/** Marks a time that has not come yet. */
internal const val NEVER_MS: Long = Long.MIN_VALUE / 4

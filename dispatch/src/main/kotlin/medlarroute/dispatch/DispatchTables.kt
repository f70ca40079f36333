package medlarroute.dispatch

import medlarroute.dispatch.reservations.BackendReservations

/** State of a task. */
internal enum class TaskState {
    /** Waits for earlier steps. */
    BLOCKED,

    /** Waits for a start on a backend server. */
    QUEUED,

    /** A start command was sent; there is no response yet. */
    STARTING,

    /** A start command was sent; it is unknown whether the task runs. */
    UNCERTAIN,

    /** Runs on its backend server. */
    RUNNING,
    DONE,
}

/** Row of the task table. Times are milliseconds on the dispatcher's clock. */
internal class TaskRow(val job: JobRow, val key: TaskKey, val step: StepRequest) {
    var state = TaskState.BLOCKED
    var backend: BackendRow? = null

    /** Number of the current or last run; 0 before the first. */
    var run = 0

    /** Number of start commands that this owner has sent for the task. */
    var starts = 0

    /** The run was started by a previous owner. */
    var isAdopted = false

    /** What is known of earlier runs, also under previous owners; null if nothing is. */
    var history: TaskHistory? = null
    var dispatchedAtMs = 0L

    /** Time on the backend server's clock after which the start command is rejected. */
    var validUntilMs = 0L

    /** Time on the backend server's clock at which the run was confirmed. */
    var confirmedAtMs = Long.MIN_VALUE

    /** Progress in the last report; -1 before the first one. */
    var donePercent = -1

    /** Time on the backend server's clock of the first report with [donePercent]. */
    var progressClockMs = 0L
    var stopRequestedAtMs = NEVER_MS

    /** Time of the first report that lists neither the run nor its end. */
    var missingSinceMs = NEVER_MS

    /** Backend servers where the task has failed. */
    val failedOn = ArrayList<BackendRow>(0)

    /** Whether its start waits for the end of another run, see [ActiveRunTable]. */
    var isDelayed = false

    /** Whether it waits until its [possibleCrashes] are proved or refuted. */
    var isHeld = false

    /** Runs under this owner that were stopped for lack of progress. */
    var hangs = 0

    val failures: Int get() = history?.failures ?: 0

    /** Whether there is evidence that the task crashes the backend server that starts it. */
    val isSuspect: Boolean get() = history?.provenCrashes?.any { !it.isJoint } == true

    /** Whether the task was on a backend server that became silent, for which there may be other causes. */
    val wasOnSilent: Boolean get() = history?.possibleCrashes?.any { !it.isJoint } == true

    /** Number of backend servers that the task may have crashed. */
    val possibleCrashes: Int get() = history?.possibleCrashes?.size ?: 0

    val isStopRequested: Boolean get() = stopRequestedAtMs != NEVER_MS

    val isDispatched: Boolean
        get() = state == TaskState.STARTING || state == TaskState.UNCERTAIN || state == TaskState.RUNNING
}

/** Instance that waits for the result of a job, and the number of its request. */
public data class JobOrigin(public val instance: String, public val request: Long)

/** Row of the job table. */
internal class JobRow(val request: JobRequest, val queue: QueueSettings, val arrivedAtMs: Long, val deadlineMs: Long) {
    val origins = LinkedHashSet<JobOrigin>(1)

    /** Latest time at which one of [origins] has certainly still waited for the job. */
    var renewedAtMs = NEVER_MS

    /** Time at which it was last submitted here. */
    var submittedAtMs = NEVER_MS
    val tasks: List<List<TaskRow>> = request.steps.mapIndexed { stepNumber, step ->
        List(step.taskCount) { TaskRow(this, TaskKey(request.id, stepNumber, it), step) }
    }
    var openTasks = tasks.sumOf { it.size }

    /** Expected run time of one task of each step at speed 1. */
    val estimatesMs = DoubleArray(request.steps.size)

    /** Expected run time of the longest chain of steps at speed 1. */
    var criticalPathMs = 0.0

    /** Latest start with which the job is expected to end in time. */
    var latestStartMs = 0L

    /** Latest start with which the result is still of use to the caller. */
    var lastUsefulStartMs = 0L

    /** Highest run number of earlier attempts at the job; runs started here get higher numbers. */
    var highestPriorRun = 0

    /** Highest run number that was started here. */
    var highestStartedRun = 0

    /** Whether a start command was sent for one of its tasks, or may have been sent by a previous owner. */
    var everDispatched = false

    /** The job was taken over from a previous owner. */
    var isResumed = false

    /** Predicted wait before correction; reset to 0 after the comparison with the actual wait. */
    var predictedWaitMs = 0.0
    var firstDispatchedAtMs = 0L
    var queuedTasks = 0

    /** Earliest time at which the caller may have sent it. */
    var earliestArrivalMs = arrivedAtMs

    /** Time of the first and of the last of the present series of messages that it is open, see [OpenJobSystem]. */
    var announcedSinceMs = NEVER_MS
    var announcedAtMs = NEVER_MS

    /** Whether one of its tasks has a run under this owner. */
    val isRunning: Boolean get() = allTasks().any { it.isDispatched }

    /** Whether its tasks wait for a renewal before they start. */
    var isUnrenewed = false

    /** Whether it is among [DispatchTables.waiting]. */
    var isWaiting = false
    var ended = false

    /** [origin] waits for the job, as of [renewedAtMs]. */
    fun addOrigin(origin: JobOrigin, renewedAtMs: Long, nowMs: Long) {
        origins += origin
        submittedAtMs = nowMs
        this.renewedAtMs = maxOf(this.renewedAtMs, renewedAtMs)
    }

    fun task(key: TaskKey): TaskRow? = tasks.getOrNull(key.step)?.getOrNull(key.index)

    fun allTasks(): Sequence<TaskRow> = tasks.asSequence().flatten()

    /** Processor demand of the queued tasks, in thousandths of a core. */
    fun queuedCpuMillis(): Long =
        allTasks().filter { it.state == TaskState.QUEUED }.sumOf { it.step.demand.cpuMillis.toLong() }

    /** Work of the queued and blocked tasks, in thousandths of core-milliseconds at speed 1. */
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

/** All state of the dispatcher. Confined to one thread. */
internal class DispatchTables(historyRetentionMs: Long, val reservations: BackendReservations) {
    val histories = TaskHistoryTable(historyRetentionMs)
    val jobs = LinkedHashMap<JobId, JobRow>()

    /** Order in which queued jobs of the same rank by shares are served. */
    var servingOrder: Comparator<JobRow> = BEGUN_FIRST

    /** Jobs with queued tasks, in [servingOrder] unless [waitingIsDirty]. */
    val waiting = ArrayList<JobRow>()
    val backends = LinkedHashMap<String, BackendRow>()

    /** Tokens of the owned failure domains, by their names. */
    val tokens = HashMap<String, Long>()
    val ownedSinceMs = HashMap<String, Long>()

    /** The same for the failure domains that their previous owners have not released. */
    val takenOverAtMs = HashMap<String, Long>()

    /** Failure domains in which no new task starts, whether or not this instance owns them. */
    var evacuated: Set<String> = emptySet()

    /** Tasks that were not started here since all owned failure domains are evacuated. */
    var startsAvoided = 0L

    /** Whether all owned failure domains are evacuated. */
    val areAllEvacuated: Boolean
        get() = evacuated.isNotEmpty() && tokens.isNotEmpty() && evacuated.containsAll(tokens.keys)

    val runs = ActiveRunTable()
    val cancelledJobs = CancelledJobs()
    val waitEstimator = WaitEstimator()
    val runTimes = HashMap<QueueId, RunTimeEstimator>()
    var configuration: DispatchConfiguration? = null
    var waitingIsDirty = false

    fun backendsIn(failureDomain: String): List<BackendRow> =
        backends.values.filter { it.info.failureDomain == failureDomain }

    /** Open jobs that [instance] waits for. */
    fun jobsOf(instance: String): List<Pair<JobRow, JobOrigin>> = jobs.values.flatMap { job ->
        job.origins.filter { it.instance == instance }.map { job to it }
    }

    /** What the next owner of [job] has to know. */
    fun progressOf(job: JobRow, nowMs: Long) = JobProgress(
        done = job.allTasks().filter { it.state == TaskState.DONE }.map { it.key }.toList(),
        ordered = job.allTasks().filter { it.isDispatched || runs.findActive(it.key, nowMs) != null }
            .map { it.key }.toList(),
        highestRun = maxOf(job.highestPriorRun, job.highestStartedRun),
        runsEndInMs = job.allTasks().mapNotNull { runs.findActive(it.key, nowMs) }
            .maxOfOrNull { it.endMs - nowMs } ?: 0,
        histories = job.allTasks().mapNotNull { it.history }.toList(),
    )

    /** Whether the backend servers of [service] reject what exceeds their capacity; false if unknown. */
    fun isGuarded(service: ServiceId): Boolean = configuration?.serviceOrNull(service)?.rejectsOverload == true

    /** The run of [task] on [row] has ended or is abandoned. */
    fun release(row: BackendRow, task: TaskRow) {
        row.release(task)
        if (reservations.find(task) === row) reservations.onEnded(task)
    }

    fun token(backend: BackendRow): Long? = tokens[backend.info.failureDomain]
}

/** Jobs that have begun first, then by their latest start, then by priority. */
internal val BEGUN_FIRST: Comparator<JobRow> = compareByDescending<JobRow> { it.everDispatched }
    .thenBy { it.latestStartMs }
    .thenBy { it.queue.priority }

/** By the latest start: a job that has begun is served no earlier than one that has less time left. */
internal val EARLIEST_LATEST_START: Comparator<JobRow> = compareBy<JobRow> { it.latestStartMs }
    .thenBy { it.queue.priority }

/** Marks the time of an event that has not happened. Far enough from the limits of Long to allow subtractions. */
internal const val NEVER_MS: Long = Long.MIN_VALUE / 4

package medlarroute.core

import com.dynatrace.hash4j.hashing.Hashing
import java.util.ArrayDeque
import kotlin.time.Duration

/** State of a task within its job. */
internal enum class TaskState { QUEUED, STARTED, DONE, FAILED, LOST }

/** Row of the task table. */
internal class TaskRow(val id: TaskId, val job: JobRow, val spec: TaskSpec) {
    var state = TaskState.QUEUED
    var backend: BackendRow? = null
    var sends = 0
    var output: String? = null

    /** Expected run time at speed 1. */
    var estimateNs = 0L
    var isLong = false

    /** True once a start may have reached a backend server, unless it was proved that the task did not start. */
    var mayHaveRun = false
}

/** Row of the job table. Times are nanoseconds since the engine was created. */
internal class JobRow(val spec: Job, val team: TeamId, val arrivedNs: Long) {
    val deadlineNs: Long = saturatedAdd(arrivedNs, spec.timeout.inWholeNanoseconds)
    val tasks: List<TaskRow> =
        spec.tasks.mapIndexed { index, task -> TaskRow(TaskId(spec.submission, index), this, task) }
    var openTasks = tasks.size
    var admitted = false
    var aboveQuota = false
    var firstSentNs = NEVER_NS
    val batches = ArrayList<Batch>(1)
    var isEnded = false

    /** Answer of an ended job; null if the job has not ended, or if it is complete. */
    var outcome: Answer? = null

    val mayHaveRun: Boolean get() = tasks.any { it.mayHaveRun }
}

/** The tasks of a job that wait in one [BatchQueue]. [sortKey] orders the batches of a queue, the lowest first. */
internal class Batch(val job: JobRow, val queue: BatchQueue) {
    val tasks = ArrayDeque<TaskRow>()
    var workNs = 0L
    var sortKey = 0.0
    var isQueued = false
}

/** Row of the backend server table. Times are nanoseconds since the engine was created. */
internal class BackendRow(var info: BackendServer) {
    /** Position in the [BackendIndex] of its failure domain; -1 if it is in none. */
    var indexPosition = -1
    var leaving = false
    var removed = false
    var blocked = false

    /** Neither leaving nor drained or blocked by the rules. */
    var isAllowed = false
    var outstanding = 0

    /** Starts since [recentStartsFromNs], which the backend server may not have received yet. */
    var recentStarts = 0
    var recentStartsFromNs = NEVER_NS

    /** Most tasks that this instance runs here at once; grows with each success up to the number of slots. */
    var slowStartWindow = FIRST_SLOW_START_WINDOW
    var successes = 0L
    var failuresInRow = 0

    /** Slots that other instances are estimated to hold, as of [othersUpdatedNs]. */
    var othersBusy = 0.0
    var othersUpdatedNs = NEVER_NS

    /** Whether the last report is recent enough to count as the current load. */
    var hasFreshReport = false
    var busyReplies = 0
    var backOffUntilNs = NEVER_NS
    var ejectedUntilNs = NEVER_NS
    var ejections = 0
    var isProbing = false
    var timerNs = NEVER_NS

    /** Estimated free slots as last added to [BackendPool.freeSlots]. */
    var countedFreeSlots = 0.0

    /** Estimated free slots at the last update of its score. */
    var rankedFreeSlots = 0.0

    var speedSamples = 0.0
    var logSpeedSum = 0.0

    val id: BackendId get() = info.id

    /**
     * Hash of the name, uniform in 0..1. All instances compute the same value, so that they agree without messages on
     * which backend servers run long work.
     */
    val nameHash: Double = (Hashing.komihash5_0().hashCharsToLong(info.id.value) ushr HASH_SHIFT) * HASH_SCALE

    private companion object {
        /** Tasks that an unknown backend server may run at once; if it is faulty, they usually fail only one job. */
        const val FIRST_SLOW_START_WINDOW = 3
        const val HASH_SHIFT = 11
        const val HASH_SCALE = 1.0 / (1L shl 53)
    }
}

/** Row of the team table: a token bucket of task starts, refilled at the rate of the team's share. */
internal class TeamRow {
    var tokens = 0.0
    var refilledNs = NEVER_NS
}

/** All state of the engine. Confined to the engine's thread. */
internal class Tables {
    val jobs = LinkedHashMap<SubmissionId, JobRow>()
    val backends = LinkedHashMap<BackendId, BackendRow>()
    val kinds = KindTable()
    val teams = HashMap<TeamId, TeamRow>()
    val openJobsByCaller = HashMap<CallerId, Int>()
    val endedJobs = ArrayList<JobRow>()
    var rules: Rules? = null
    var shares: Map<TeamId, Double> = emptyMap()

    /** Estimated work of all queued tasks at speed 1. */
    var queuedWorkNs = 0L

    /** The part of [queuedWorkNs] that is long work. */
    var queuedLongWorkNs = 0L
    var queuedTasks = 0
    var outstanding = 0

    /** Adds work that was queued; a negative value is work that was dequeued. */
    fun countQueuedWork(workNs: Long, isLong: Boolean) {
        queuedWorkNs += workNs
        if (isLong) queuedLongWorkNs += workNs
    }

    fun taskOrNull(id: TaskId): TaskRow? = jobs[id.submission]?.tasks?.getOrNull(id.index)

    fun addJob(row: JobRow) {
        jobs[row.spec.submission] = row
        openJobsByCaller.merge(row.spec.caller, 1, Int::plus)
    }

    fun removeJob(row: JobRow) {
        jobs.remove(row.spec.submission)
        openJobsByCaller.computeIfPresent(row.spec.caller) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Ends [job] with [answer], or as complete if that is null, unless it has ended already. */
    fun end(job: JobRow, answer: Answer?) {
        if (job.isEnded) return
        job.isEnded = true
        job.outcome = answer
        endedJobs += job
    }
}

/** Marks an event that has not happened yet, or a timer that is not set. */
internal const val NEVER_NS = Long.MIN_VALUE / 4

internal const val NS_PER_MS = 1_000_000L
internal const val NS_PER_SECOND = 1_000_000_000L

/** Adds without overflow: an infinite timeout saturates at [Long.MAX_VALUE]. */
internal fun saturatedAdd(leftNs: Long, rightNs: Long): Long =
    if (rightNs > Long.MAX_VALUE - leftNs) Long.MAX_VALUE else leftNs + rightNs

internal fun Duration.toNs(): Long = inWholeNanoseconds

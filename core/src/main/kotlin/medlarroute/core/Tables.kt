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

    /** True once a start may have reached a backend server and nothing proved the opposite. */
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

    /** The answer if the job has ended, or null if it is complete. */
    var outcome: Answer? = null

    val mayHaveRun: Boolean get() = tasks.any { it.mayHaveRun }
}

/** The queued tasks of a job in one [Lane]. [key] orders the batches of a lane, the lowest first. */
internal class Batch(val job: JobRow, val lane: Lane) {
    val tasks = ArrayDeque<TaskRow>()
    var workNs = 0L
    var key = 0.0
    var isQueued = false
}

/** Row of the backend server table. Times are nanoseconds since the engine was created. */
internal class BackendRow(var info: BackendServer) {
    /** Position in the index of its failure domain. */
    var slot = -1
    var leaving = false
    var removed = false
    var blocked = false

    /** Serving and not blocked by the rules. */
    var isAllowed = false
    var outstanding = 0

    /** Starts since [burstFromNs], which may not have arrived yet. */
    var burst = 0
    var burstFromNs = NEVER_NS

    /** Most tasks of this instance at once; rises with each success up to the number of slots. */
    var window = FIRST_WINDOW
    var successes = 0L
    var failuresInRow = 0

    /** Slots that other instances are estimated to hold, as of [othersAtNs]. */
    var othersBusy = 0.0
    var othersAtNs = NEVER_NS

    /** The last report is recent enough to count as the present state. */
    var isFresh = false
    var busyReplies = 0
    var heldUntilNs = NEVER_NS
    var ejectedUntilNs = NEVER_NS
    var ejections = 0
    var isProbing = false
    var timerNs = NEVER_NS

    /** Estimated free slots as last counted into the total of the table. */
    var countedFree = 0.0

    /** Estimated free slots when it was ranked. */
    var scoredFree = 0.0

    var speedSamples = 0.0
    var logSpeedSum = 0.0

    val id: BackendId get() = info.id

    /** Uniform in 0..1 and the same on all instances, so that they agree on parts of the cluster without messages. */
    val place: Double = (Hashing.komihash5_0().hashCharsToLong(info.id.value) ushr PLACE_SHIFT) * PLACE_SCALE

    private companion object {
        /** Tasks that an unknown backend server may get at once; if it is bad, they most often fail one job only. */
        const val FIRST_WINDOW = 3
        const val PLACE_SHIFT = 11
        const val PLACE_SCALE = 1.0 / (1L shl 53)
    }
}

/** Row of the team table: a bucket of task starts that fills at the team's share. */
internal class TeamRow {
    var tokens = 0.0
    var filledNs = NEVER_NS
}

/** All state of the engine. Owned by the engine's thread. */
internal class Tables {
    val jobs = LinkedHashMap<SubmissionId, JobRow>()
    val backends = LinkedHashMap<BackendId, BackendRow>()
    val kinds = KindTable()
    val teams = HashMap<TeamId, TeamRow>()
    val openJobsByCaller = HashMap<CallerId, Int>()
    val ended = ArrayList<JobRow>()
    var rules: Rules? = null
    var shares: Map<TeamId, Double> = emptyMap()

    /** Estimated work of all queued tasks at speed 1. */
    var queuedWorkNs = 0L

    /** The part of [queuedWorkNs] that is long work. */
    var queuedLongWorkNs = 0L
    var queuedTasks = 0
    var outstanding = 0

    /** Counts work that was queued, or, if negative, taken from the queue. */
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
        ended += job
    }
}

/** Marks a time that has not come yet. */
internal const val NEVER_NS = Long.MIN_VALUE / 4

internal const val NS_PER_MS = 1_000_000L
internal const val NS_PER_SECOND = 1_000_000_000L

/** Timeouts may be infinite, which saturates at [Long.MAX_VALUE]. */
internal fun saturatedAdd(leftNs: Long, rightNs: Long): Long =
    if (rightNs > Long.MAX_VALUE - leftNs) Long.MAX_VALUE else leftNs + rightNs

internal fun Duration.toNs(): Long = inWholeNanoseconds

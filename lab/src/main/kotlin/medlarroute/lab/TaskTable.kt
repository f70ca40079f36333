package medlarroute.lab

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit.MICROSECONDS
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** State of a task in the messages of the backend protocol. */
@Serializable
internal enum class TaskState {
    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,
}

/** Body of the reply to a start request and to a state query. [runMs] is the time that the task has held its slot. */
@Serializable
internal data class TaskReport(
    val state: TaskState,
    val output: String = "",
    val message: String = "",
    val runMs: Double = 0.0,
)

/**
 * The slots of a backend stand-in and the tasks that run on them. Thread-safe; all calls share one lock.
 *
 * The reports of the last [MAX_ENDED_TASKS] ended tasks are kept for state queries.
 *
 * @param onEvent is called for each task start, with a null outcome, and for each task end.
 */
internal class TaskTable(
    private val slots: Int,
    private val timer: ScheduledExecutorService,
    private val onEvent: (task: String, outcome: TaskOutcome?) -> Unit,
) {
    private inner class RunningTask(
        val task: String,
        val payload: String,
        var remainingWork: Duration,
        val fails: Boolean,
    ) {
        val started = TimeSource.Monotonic.markNow()
        val report = CompletableFuture<TaskReport>()
        var rate = 1.0
        var rateSince = started
        var endTimer: ScheduledFuture<*>? = null
        var leaseTimer: ScheduledFuture<*>? = null

        /** Subtracts the work done at the current rate since the last call. */
        fun updateRemainingWork() {
            remainingWork -= rateSince.elapsedNow() * rate
            rateSince = TimeSource.Monotonic.markNow()
        }
    }

    private val running = ArrayList<RunningTask>()
    private val ended = object : LinkedHashMap<String, TaskReport>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, TaskReport>): Boolean = size > MAX_ENDED_TASKS
    }

    val busySlots: Int @Synchronized get() = running.size

    /**
     * Starts a task that takes [runTime] at full rate. Returns null without starting it if all slots are busy;
     * otherwise the future completes when the task ends.
     */
    @Synchronized
    fun start(
        task: String,
        payload: String,
        runTime: Duration,
        lease: Duration,
        fails: Boolean,
    ): CompletableFuture<TaskReport>? {
        if (running.size >= slots) return null
        val entry = RunningTask(task, payload, runTime, fails)
        running.add(entry)
        onEvent(task, null)
        scheduleEnd(entry)
        scheduleLeaseExpiry(entry, lease)
        return entry.report
    }

    /** State of a running or recently ended task; null if it is unknown. */
    @Synchronized
    fun report(task: String): TaskReport? {
        val entry = running.firstOrNull { it.task == task } ?: return ended[task]
        return TaskReport(TaskState.RUNNING, runMs = entry.started.elapsedNow().toDouble(DurationUnit.MILLISECONDS))
    }

    /** Restarts the lease of a running task, so that it expires after [lease]; false if the task is not running. */
    @Synchronized
    fun renewLease(task: String, lease: Duration): Boolean = withRunning(task) { scheduleLeaseExpiry(it, lease) }

    /** Ends a running task as failed; false if it is not running. */
    @Synchronized
    fun stop(task: String): Boolean = withRunning(task) { end(it, TaskOutcome.STOPPED) }

    /** Slows a running task down to the fraction [rate] of its full rate; false if it is not running. */
    @Synchronized
    fun throttle(task: String, rate: Double): Boolean =
        withRunning(task) {
            it.updateRemainingWork()
            it.rate = rate
            scheduleEnd(it)
        }

    /** Run time that a running task still needs at full rate; null if it is not running. */
    @Synchronized
    fun remainingWork(task: String): Duration? {
        val entry = running.firstOrNull { it.task == task } ?: return null
        entry.updateRemainingWork()
        return entry.remainingWork
    }

    /** Simulates a crash: drops all running tasks without a report and removes the reports of ended tasks. */
    @Synchronized
    fun crash() {
        running.toList().forEach { end(it, TaskOutcome.CRASHED) }
        ended.clear()
    }

    private inline fun withRunning(task: String, action: (RunningTask) -> Unit): Boolean {
        val entries = running.filter { it.task == task }
        entries.forEach(action)
        return entries.isNotEmpty()
    }

    private fun scheduleEnd(entry: RunningTask) {
        entry.endTimer?.cancel(false)
        val outcome = if (entry.fails) TaskOutcome.FAILED else TaskOutcome.DONE
        entry.endTimer = schedule(entry.remainingWork / entry.rate) { end(entry, outcome) }
    }

    private fun scheduleLeaseExpiry(entry: RunningTask, lease: Duration) {
        entry.leaseTimer?.cancel(false)
        entry.leaseTimer = schedule(lease) { end(entry, TaskOutcome.LEASE_LAPSED) }
    }

    private fun schedule(delay: Duration, action: () -> Unit): ScheduledFuture<*> =
        timer.schedule(action, delay.coerceAtLeast(0.milliseconds).inWholeMicroseconds, MICROSECONDS)

    @Synchronized
    private fun end(entry: RunningTask, outcome: TaskOutcome) {
        if (!running.remove(entry)) return
        entry.endTimer?.cancel(false)
        entry.leaseTimer?.cancel(false)
        onEvent(entry.task, outcome)
        if (outcome == TaskOutcome.CRASHED) return
        val report = reportOf(entry, outcome)
        ended[entry.task] = report
        entry.report.complete(report)
    }

    private fun reportOf(entry: RunningTask, outcome: TaskOutcome): TaskReport {
        val runMs = entry.started.elapsedNow().toDouble(DurationUnit.MILLISECONDS)
        return when (outcome) {
            TaskOutcome.DONE -> TaskReport(TaskState.DONE, StandinTaskSpec.outputOf(entry.payload), runMs = runMs)
            TaskOutcome.FAILED -> TaskReport(TaskState.FAILED, message = "the task failed", runMs = runMs)
            TaskOutcome.STOPPED -> TaskReport(TaskState.FAILED, message = "the task was stopped", runMs = runMs)
            else -> TaskReport(TaskState.FAILED, message = "the lease of the task expired", runMs = runMs)
        }
    }

    private companion object {
        const val MAX_ENDED_TASKS = 10_000
    }
}

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

/** State of a task as the backend protocol names it. */
@Serializable
internal enum class TaskState {
    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,
}

/** Body of the reply to a start and to a state query. [runMs] is the time on the slot. */
@Serializable
internal data class TaskReport(
    val state: TaskState,
    val output: String = "",
    val message: String = "",
    val runMs: Double = 0.0,
)

/**
 * The slots of a backend stand-in and the tasks on them. Thread-safe; every call holds one lock for a short time.
 *
 * Ended tasks are remembered up to [REMEMBERED_TASKS], oldest dropped first.
 */
internal class TaskTable(
    private val slots: Int,
    private val timer: ScheduledExecutorService,
    private val onEvent: (task: String, outcome: TaskOutcome?) -> Unit,
) {
    private inner class Running(val task: String, val payload: String, var workLeft: Duration, val fails: Boolean) {
        val started = TimeSource.Monotonic.markNow()
        val report = CompletableFuture<TaskReport>()
        var rate = 1.0
        var rateSince = started
        var endTimer: ScheduledFuture<*>? = null
        var leaseTimer: ScheduledFuture<*>? = null

        fun settleWork() {
            workLeft -= rateSince.elapsedNow() * rate
            rateSince = TimeSource.Monotonic.markNow()
        }
    }

    private val running = ArrayList<Running>()
    private val ended = object : LinkedHashMap<String, TaskReport>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, TaskReport>): Boolean = size > REMEMBERED_TASKS
    }

    val busySlots: Int @Synchronized get() = running.size

    /** Starts a task that takes [runTime] at full rate; null if all slots are busy, and then nothing has started. */
    @Synchronized
    fun start(
        task: String,
        payload: String,
        runTime: Duration,
        lease: Duration,
        fails: Boolean,
    ): CompletableFuture<TaskReport>? {
        if (running.size >= slots) return null
        val entry = Running(task, payload, runTime, fails)
        running.add(entry)
        onEvent(task, null)
        planEnd(entry)
        planLease(entry, lease)
        return entry.report
    }

    @Synchronized
    fun report(task: String): TaskReport? {
        val entry = running.firstOrNull { it.task == task }
        return entry?.let {
            TaskReport(TaskState.RUNNING, runMs = it.started.elapsedNow().toDouble(DurationUnit.MILLISECONDS))
        }
            ?: ended[task]
    }

    /** Sets the lease of a running task anew, from now on; false if it does not run. */
    @Synchronized
    fun renewLease(task: String, lease: Duration): Boolean = forRunning(task) { planLease(it, lease) }

    /** Ends a running task as failed; false if it does not run. */
    @Synchronized
    fun stop(task: String): Boolean = forRunning(task) { end(it, TaskOutcome.STOPPED) }

    /** Slows a running task down to [rate] of its full rate; false if it does not run. */
    @Synchronized
    fun throttle(task: String, rate: Double): Boolean =
        forRunning(task) {
            it.settleWork()
            it.rate = rate
            planEnd(it)
        }

    /** Run time that a running task still needs at full rate; null if it does not run. */
    @Synchronized
    fun workLeft(task: String): Duration? {
        val entry = running.firstOrNull { it.task == task } ?: return null
        entry.settleWork()
        return entry.workLeft
    }

    /** Drops all running tasks without a report, and the memory of ended ones, as a crash does. */
    @Synchronized
    fun crash() {
        running.toList().forEach { end(it, TaskOutcome.CRASHED) }
        ended.clear()
    }

    private inline fun forRunning(task: String, action: (Running) -> Unit): Boolean {
        val entries = running.filter { it.task == task }
        entries.forEach(action)
        return entries.isNotEmpty()
    }

    private fun planEnd(entry: Running) {
        entry.endTimer?.cancel(false)
        val outcome = if (entry.fails) TaskOutcome.FAILED else TaskOutcome.DONE
        entry.endTimer = after(entry.workLeft / entry.rate) { end(entry, outcome) }
    }

    private fun planLease(entry: Running, lease: Duration) {
        entry.leaseTimer?.cancel(false)
        entry.leaseTimer = after(lease) { end(entry, TaskOutcome.LEASE_LAPSED) }
    }

    private fun after(delay: Duration, action: () -> Unit): ScheduledFuture<*> =
        timer.schedule(action, delay.coerceAtLeast(0.milliseconds).inWholeMicroseconds, MICROSECONDS)

    @Synchronized
    private fun end(entry: Running, outcome: TaskOutcome) {
        if (!running.remove(entry)) return
        entry.endTimer?.cancel(false)
        entry.leaseTimer?.cancel(false)
        onEvent(entry.task, outcome)
        if (outcome == TaskOutcome.CRASHED) return
        val report = reportOf(entry, outcome)
        ended[entry.task] = report
        entry.report.complete(report)
    }

    private fun reportOf(entry: Running, outcome: TaskOutcome): TaskReport {
        val runMs = entry.started.elapsedNow().toDouble(DurationUnit.MILLISECONDS)
        return when (outcome) {
            TaskOutcome.DONE -> TaskReport(TaskState.DONE, StandinWork.outputOf(entry.payload), runMs = runMs)
            TaskOutcome.FAILED -> TaskReport(TaskState.FAILED, message = "the task failed", runMs = runMs)
            TaskOutcome.STOPPED -> TaskReport(TaskState.FAILED, message = "the task was stopped", runMs = runMs)
            else -> TaskReport(TaskState.FAILED, message = "the lease of the task lapsed", runMs = runMs)
        }
    }

    private companion object {
        const val REMEMBERED_TASKS = 10_000
    }
}

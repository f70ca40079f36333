package medlarroute.lab

import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.FailureCode
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.SubmissionId
import medlarroute.core.TaskId
import java.util.ArrayDeque
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Scheduler of one simulated entry instance: turns inputs into task starts, task stops and answers. */
internal interface Dispatcher {
    /** Applies [inputs] and returns the resulting effects. */
    fun tick(inputs: List<Input>): List<Effect>

    /** Time until the next tick is due even without inputs; null if none is due. */
    fun nextWake(): Duration?
}

/** Dispatches with the production [Engine]. */
internal class EngineDispatcher(private val engine: Engine) : Dispatcher {
    override fun tick(inputs: List<Input>): List<Effect> = engine.tick(inputs)

    override fun nextWake(): Duration? = engine.nextWake()
}

/** How a [BaselineDispatcher] selects a backend server. */
internal enum class BackendSelection { RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, FIRST_COME_FIRST_SERVED }

/**
 * Standard dispatching policies without run time estimates, admission control or quotas, as baselines for comparison.
 *
 * Tasks are queued in order of arrival, and no backend server gets more tasks than it has slots. After a reply that the
 * task was not started, it waits for [BACK_OFF] and then goes to the end of the queue. With first-come-first-served, it
 * goes back to the head of the queue, and no task starts while any task waits.
 */
internal class BaselineDispatcher(
    private val selection: BackendSelection,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random,
) : Dispatcher {
    private class OpenJob(val job: Job, val deadline: Duration) {
        val outputs = arrayOfNulls<String>(job.tasks.size)
        var remainingTasks = job.tasks.size
        var started = 0

        /** Backend servers of the started tasks that have not ended. */
        val serverOf = HashMap<TaskId, Server>()
    }

    private class Server(val id: BackendId, val slots: Int) {
        var outstanding = 0
        var isAvailable = true
    }

    private val origin = clock.markNow()
    private val servers = ArrayList<Server>()
    private val serverById = HashMap<BackendId, Server>()
    private val openJobs = LinkedHashMap<SubmissionId, OpenJob>()
    private val queue = ArrayDeque<TaskId>()

    /** Tasks in back-off with the time at which they return to the queue, earliest first. */
    private val backingOff = ArrayDeque<Pair<Duration, TaskId>>()
    private var nextIndex = random.nextInt(1_000)

    override fun tick(inputs: List<Input>): List<Effect> {
        val now = origin.elapsedNow()
        val effects = ArrayList<Effect>()
        inputs.forEach { apply(it, now, effects) }
        expire(now, effects)
        while (backingOff.isNotEmpty() && backingOff.first().first <= now) requeue(backingOff.removeFirst().second)
        while (true) effects += startNext(now) ?: break
        return effects
    }

    override fun nextWake(): Duration? {
        val now = origin.elapsedNow()
        val deadline = openJobs.values.firstOrNull()?.deadline
        val retry = backingOff.firstOrNull()?.first
        return listOfNotNull(deadline, retry).minOrNull()?.let { (it - now).coerceAtLeast(Duration.ZERO) }
    }

    private fun startNext(now: Duration): Effect.Start? {
        while (queue.isNotEmpty() && queue.first().submission !in openJobs) queue.removeFirst()
        val task = queue.peekFirst() ?: return null
        if (selection == BackendSelection.FIRST_COME_FIRST_SERVED && backingOff.isNotEmpty()) return null
        val server = selectServer() ?: return null
        queue.removeFirst()
        return start(task, openJobs.getValue(task.submission), server, now)
    }

    private fun requeue(task: TaskId) {
        if (selection == BackendSelection.FIRST_COME_FIRST_SERVED) queue.addFirst(task) else queue.addLast(task)
    }

    private fun start(task: TaskId, entry: OpenJob, server: Server, now: Duration): Effect.Start {
        server.outstanding++
        entry.serverOf[task] = server
        entry.started++
        val spec = entry.job.tasks[task.index]
        return Effect.Start(task, server.id, entry.job.kind, spec.payload, true, 60.seconds, now)
    }

    private fun selectServer(): Server? =
        when (selection) {
            BackendSelection.RANDOM -> servers.filter(::hasFreeSlot).randomOrNull(random)
            BackendSelection.ROUND_ROBIN -> selectInRotation()
            else -> servers.filter(::hasFreeSlot).minByOrNull { it.outstanding + random.nextDouble() }
        }

    private fun selectInRotation(): Server? {
        val offset =
            servers.indices.firstOrNull { hasFreeSlot(servers[(nextIndex + it) % servers.size]) } ?: return null
        return servers[(nextIndex + offset) % servers.size].also { nextIndex += offset + 1 }
    }

    private fun hasFreeSlot(server: Server) = server.isAvailable && server.outstanding < server.slots

    private fun apply(input: Input, now: Duration, effects: MutableList<Effect>) {
        when (input) {
            is Input.Submit -> submit(input.job, now)
            is Input.TaskDone -> done(input, effects)
            is Input.TaskFailed -> fail(input.task, FailureCode.TASK_FAILED, effects)
            is Input.TaskLost -> fail(input.task, FailureCode.TASK_LOST, effects)
            is Input.TaskNotStarted -> release(input.task)?.let { backingOff += now + BACK_OFF to input.task }
            is Input.Cancel -> openJobs[input.submission]?.let { end(it, FailureCode.CANCELLED, effects) }
            is Input.BackendServing -> addServer(input)
            is Input.BackendLeaving -> serverById[input.backend]?.isAvailable = false
            is Input.BackendRemoved -> serverById[input.backend]?.isAvailable = false
            is Input.RulesChanged, is Input.SharesChanged -> Unit
        }
    }

    private fun submit(job: Job, now: Duration) {
        openJobs[job.submission] = OpenJob(job, now + job.timeout)
        job.tasks.indices.forEach { queue += TaskId(job.submission, it) }
    }

    private fun addServer(input: Input.BackendServing) {
        val server = serverById.getOrPut(input.backend.id) {
            Server(input.backend.id, input.backend.slots).also { servers += it }
        }
        server.isAvailable = true
    }

    /** Frees the slot of [task]; null if the job has ended or the task is not started. */
    private fun release(task: TaskId): OpenJob? {
        val entry = openJobs[task.submission] ?: return null
        val server = entry.serverOf.remove(task) ?: return null
        server.outstanding--
        return entry
    }

    private fun done(reply: Input.TaskDone, effects: MutableList<Effect>) {
        val entry = release(reply.task) ?: return
        entry.outputs[reply.task.index] = reply.output
        if (--entry.remainingTasks > 0) return
        openJobs.remove(entry.job.submission)
        effects += Effect.Answered(entry.job.submission, Answer.Complete(entry.outputs.map { checkNotNull(it) }))
    }

    private fun fail(task: TaskId, code: FailureCode, effects: MutableList<Effect>) {
        release(task)?.let { end(it, code, effects) }
    }

    private fun end(entry: OpenJob, code: FailureCode, effects: MutableList<Effect>) {
        openJobs.remove(entry.job.submission)
        entry.serverOf.forEach { (task, server) ->
            server.outstanding--
            effects += Effect.Stop(task, server.id)
        }
        effects += Effect.Answered(entry.job.submission, Answer.Failed(code, "baseline"))
    }

    /** Fails the jobs whose deadline has passed. All jobs have the same timeout, so they expire in order of arrival. */
    private fun expire(now: Duration, effects: MutableList<Effect>) {
        while (true) {
            val entry = openJobs.values.firstOrNull()?.takeIf { it.deadline <= now } ?: return
            end(entry, FailureCode.DEADLINE, effects)
        }
    }

    private companion object {
        val BACK_OFF = 5.milliseconds
    }
}

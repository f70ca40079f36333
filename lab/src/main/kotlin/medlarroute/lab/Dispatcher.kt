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

/** What decides in one entry instance of an experiment. */
internal interface Dispatcher {
    fun tick(inputs: List<Input>): List<Effect>

    fun nextWake(): Duration?
}

/** The engine of the product. */
internal class EngineDispatcher(private val engine: Engine) : Dispatcher {
    override fun tick(inputs: List<Input>): List<Effect> = engine.tick(inputs)

    override fun nextWake(): Duration? = engine.nextWake()
}

/** How a [BaselineDispatcher] picks a backend server. */
internal enum class Pick { RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, FIRST_COME_FIRST_SERVED }

/**
 * Textbook dispatchers without estimates, admission or quotas. They keep a queue of tasks in order of arrival and never
 * send a backend server more than it has slots. After a busy reply the task waits [BACK_OFF] at the end of the queue;
 * first-come-first-served puts it back to the head and starts nothing else before it.
 */
internal class BaselineDispatcher(
    private val pick: Pick,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random,
) : Dispatcher {
    private class Open(val job: Job, val deadline: Duration) {
        val outputs = arrayOfNulls<String>(job.tasks.size)
        var left = job.tasks.size
        var started = 0
        val at = HashMap<TaskId, Server>()
    }

    private class Server(val id: BackendId, val slots: Int) {
        var outstanding = 0
        var gone = false
    }

    private val origin = clock.markNow()
    private val servers = ArrayList<Server>()
    private val serverOf = HashMap<BackendId, Server>()
    private val open = LinkedHashMap<SubmissionId, Open>()
    private val queue = ArrayDeque<TaskId>()
    private val waiting = ArrayDeque<Pair<Duration, TaskId>>()
    private var turn = random.nextInt(1_000)

    override fun tick(inputs: List<Input>): List<Effect> {
        val now = origin.elapsedNow()
        val effects = ArrayList<Effect>()
        inputs.forEach { apply(it, now, effects) }
        expire(now, effects)
        while (waiting.isNotEmpty() && waiting.first().first <= now) requeue(waiting.removeFirst().second)
        while (true) effects += startNext(now) ?: break
        return effects
    }

    override fun nextWake(): Duration? {
        val now = origin.elapsedNow()
        val deadline = open.values.firstOrNull()?.deadline
        val retry = waiting.firstOrNull()?.first
        return listOfNotNull(deadline, retry).minOrNull()?.let { (it - now).coerceAtLeast(Duration.ZERO) }
    }

    private fun startNext(now: Duration): Effect.Start? {
        while (queue.isNotEmpty() && queue.first().submission !in open) queue.removeFirst()
        val task = queue.peekFirst() ?: return null
        if (pick == Pick.FIRST_COME_FIRST_SERVED && waiting.isNotEmpty()) return null
        val server = choose() ?: return null
        queue.removeFirst()
        return start(task, open.getValue(task.submission), server, now)
    }

    private fun requeue(task: TaskId) {
        if (pick == Pick.FIRST_COME_FIRST_SERVED) queue.addFirst(task) else queue.addLast(task)
    }

    private fun start(task: TaskId, entry: Open, server: Server, now: Duration): Effect.Start {
        server.outstanding++
        entry.at[task] = server
        entry.started++
        val spec = entry.job.tasks[task.index]
        return Effect.Start(task, server.id, entry.job.kind, spec.payload, true, 60.seconds, now)
    }

    private fun choose(): Server? =
        when (pick) {
            Pick.RANDOM -> servers.filter(::hasRoom).randomOrNull(random)

            Pick.ROUND_ROBIN -> servers.indices.firstOrNull { hasRoom(servers[(turn + it) % servers.size]) }
                ?.let { servers[(turn + it) % servers.size].also { _ -> turn += it + 1 } }

            else -> servers.filter(::hasRoom).minByOrNull { it.outstanding + random.nextDouble() }
        }

    private fun hasRoom(server: Server) = !server.gone && server.outstanding < server.slots

    private fun apply(input: Input, now: Duration, effects: MutableList<Effect>) {
        when (input) {
            is Input.Submit -> submit(input.job, now)
            is Input.TaskDone -> done(input, effects)
            is Input.TaskFailed -> fail(input.task, FailureCode.TASK_FAILED, effects)
            is Input.TaskLost -> fail(input.task, FailureCode.TASK_LOST, effects)
            is Input.TaskNotStarted -> release(input.task)?.let { waiting += now + BACK_OFF to input.task }
            is Input.Cancel -> open[input.submission]?.let { end(it, FailureCode.CANCELLED, effects) }
            is Input.BackendServing -> seen(input)
            is Input.BackendLeaving -> serverOf[input.backend]?.gone = true
            is Input.BackendRemoved -> serverOf[input.backend]?.gone = true
            is Input.RulesChanged, is Input.SharesChanged -> Unit
        }
    }

    private fun submit(job: Job, now: Duration) {
        open[job.submission] = Open(job, now + job.timeout)
        job.tasks.indices.forEach { queue += TaskId(job.submission, it) }
    }

    private fun seen(input: Input.BackendServing) {
        val server = serverOf.getOrPut(input.backend.id) {
            Server(input.backend.id, input.backend.slots).also { servers += it }
        }
        server.gone = false
    }

    private fun release(task: TaskId): Open? {
        val entry = open[task.submission] ?: return null
        val server = entry.at.remove(task) ?: return null
        server.outstanding--
        return entry
    }

    private fun done(reply: Input.TaskDone, effects: MutableList<Effect>) {
        val entry = release(reply.task) ?: return
        entry.outputs[reply.task.index] = reply.output
        if (--entry.left > 0) return
        open.remove(entry.job.submission)
        effects += Effect.Answered(entry.job.submission, Answer.Complete(entry.outputs.map { checkNotNull(it) }))
    }

    private fun fail(task: TaskId, code: FailureCode, effects: MutableList<Effect>) {
        release(task)?.let { end(it, code, effects) }
    }

    private fun end(entry: Open, code: FailureCode, effects: MutableList<Effect>) {
        open.remove(entry.job.submission)
        entry.at.forEach { (task, server) ->
            server.outstanding--
            effects += Effect.Stop(task, server.id)
        }
        effects += Effect.Answered(entry.job.submission, Answer.Failed(code, "baseline"))
    }

    /** All jobs of a workload have the same timeout, so they expire in order of arrival. */
    private fun expire(now: Duration, effects: MutableList<Effect>) {
        while (true) {
            val entry = open.values.firstOrNull()?.takeIf { it.deadline <= now } ?: return
            end(entry, FailureCode.DEADLINE, effects)
        }
    }

    private companion object {
        val BACK_OFF = 5.milliseconds
    }
}

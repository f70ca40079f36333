package medlarroute.lab

import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.BackendUsage
import medlarroute.core.CallerId
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.KindId
import medlarroute.core.Rules
import medlarroute.core.SubmissionId
import medlarroute.core.TaskSpec
import medlarroute.core.TicketId
import java.util.ArrayDeque
import java.util.Locale
import kotlin.random.Random
import kotlin.random.nextLong
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Measures the cost of a task start in the engine, on one thread, for several numbers of backend servers. Each
 * reply of a backend server is passed to the engine in a separate tick, which is the worst case. About three quarters
 * of the slots are in use.
 */
public fun measureEngineCost(): String {
    BACKEND_COUNTS.forEach { EngineCost(it).startsPerSecond(WARM_UP_STARTS) }
    val rates = BACKEND_COUNTS.associateWith { size ->
        List(REPEATS) { EngineCost(size).startsPerSecond(STARTS) }.sorted()[1]
    }
    val base = rates.getValue(BACKEND_COUNTS.first())
    return rates.entries.joinToString("\n") { (size, rate) ->
        String.format(Locale.ROOT, "%4d backend servers: %,9.0f starts/s, cost ratio %.2f", size, rate, base / rate)
    }
}

private val BACKEND_COUNTS = listOf(32, 128, 910)
private const val WARM_UP_STARTS = 200_000
private const val STARTS = 400_000
private const val REPEATS = 3
private const val KINDS = 4
private const val CALLERS = 24
private const val MAX_TASKS = 55
private val RUN_MS = 50L..150L

private class EngineCost(size: Int) {
    private val clock = TestTimeSource()
    private val random = Random(1)
    private val engine = Engine(EngineSettings(failureDomain = "d0"), clock, Random(2))
    private val running = ArrayDeque<Effect.Start>()
    private val busySlotsOf = HashMap<BackendId, Int>()

    /** Number of running and queued tasks that is kept up: three quarters of the slots. */
    private val targetTasks = size * ClusterSize.SLOTS * 3 / 4
    private val meanTaskTime = (targetTasks * 10).microseconds
    private val ticket = TicketId(FailureDomainId("d0"), InstanceId("e0"), Incarnation(1), 1)
    private var sequence = 0L
    private var starts = 0

    init {
        val backendInputs = List(size) {
            val domain = FailureDomainId("d${it % ClusterSize.DOMAINS}")
            Input.BackendServing(BackendServer(BackendId("b$it"), domain, ClusterSize.SLOTS))
        }
        tick(listOf(Input.RulesChanged(Rules(version = 1))) + backendInputs)
    }

    fun startsPerSecond(count: Int): Double {
        val startNs = System.nanoTime()
        while (starts < count) {
            clock += meanTaskTime / targetTasks
            if (running.size + engine.queuedTasks < targetTasks) tick(listOf(Input.Submit(job())))
            if (running.isNotEmpty() && (running.size >= targetTasks / 2 || engine.queuedTasks > 0)) finishOldest()
        }
        return starts * NS_PER_SECOND / (System.nanoTime() - startNs)
    }

    private fun finishOldest() {
        val start = running.removeFirst()
        val busySlots = busySlotsOf.merge(start.backend, -1, Int::plus) ?: 0
        val usage = BackendUsage(busySlots, ClusterSize.SLOTS)
        tick(listOf(Input.TaskDone(start.task, "", random.nextLong(RUN_MS).milliseconds, usage)))
    }

    private fun job(): Job {
        val kind = KindId("k${random.nextInt(KINDS)}")
        val caller = CallerId("c${random.nextInt(CALLERS)}")
        val tasks = List(random.nextInt(1, MAX_TASKS)) { TaskSpec("") }
        return Job(SubmissionId(ticket, ++sequence), caller, kind, 10.seconds, tasks)
    }

    private fun tick(inputs: List<Input>) {
        for (effect in engine.tick(inputs)) if (effect is Effect.Start) recordStart(effect)
    }

    private fun recordStart(start: Effect.Start) {
        running += start
        busySlotsOf.merge(start.backend, 1, Int::plus)
        starts++
    }
}

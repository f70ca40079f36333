package medlarroute.dispatch

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sin
import kotlin.random.Random

/** A kind of job in a [LoadPattern]. [tasks] and [workMs] are means; [value] is earned by a result in time. */
internal class JobKind(
    val queue: String,
    val priority: Int,
    val perSecond: Double,
    val tasks: Int,
    val workMs: Double,
    val value: Double,
)

/** Multiplies the rate of the jobs of [queue], or of all if it is null, by [factor] for [forMs]. */
internal class Burst(val queue: String?, val factor: Double, val atMs: Long, val forMs: Long)

/**
 * Backend servers and traffic of a deployment, or of the part of it that one owner has.
 *
 * @property speeds speeds of the backend servers by turns.
 * @property cores cores of a backend server; every third one has half as many again.
 * @property demandMillis mean demand of a task, in thousandths of a core, with a spread of 0.2.
 * @property tailShare fraction of the tasks that take seven times as long.
 */
internal class SimulatedDeployment(
    val kinds: List<JobKind>,
    val backends: Int,
    val speeds: List<Double> = listOf(0.6, 1.0, 1.6),
    val cores: Int = 16,
    val demandMillis: Int = 6_800,
    val tailShare: Double = 0.03,
    val bursts: List<Burst> = emptyList(),
)

/** Numbers of jobs of one kind by their result. */
internal class KindResult(val submitted: Int, val inTime: Int, val late: Int, val refused: Int, val other: Int)

/**
 * Traffic of three kinds of jobs with a sinusoidal rate, run on simulated backend servers of three speeds.
 *
 * The distributions follow those of the deployments: numbers of tasks and work vary with a spread of 0.4 around
 * the mean, 3% of the tasks take seven times as long, and estimates are off with a spread of 0.4.
 */
internal class LoadPattern(
    private val loadFactor: Double,
    private val seconds: Int = 20,
    private val amplitude: Double = 0.55,
    private val seed: Int = 1,
    private val deployment: SimulatedDeployment = SimulatedDeployment(KINDS, backends = 32),
    settings: DispatchSettings = DispatchSettings(),
    private val setUp: SimulatedBackends.() -> Unit = {},
) {
    val kinds = deployment.kinds
    private val random = Random(seed)
    val sim = SimulatedBackends(settings = settings)
    private val works = HashMap<TaskKey, Long>()
    private val objectives = HashMap<JobId, Long>()
    private val submittedAt = HashMap<JobId, Long>()
    private val kindOf = HashMap<JobId, JobKind>()
    private val widthOf = HashMap<JobId, Int>()
    val results = LinkedHashMap<String, KindResult>()

    /** The same for the widest tenth of the jobs of each kind. */
    val widestResults = LinkedHashMap<String, KindResult>()

    /** Earned value as a fraction of the value of all submitted jobs. */
    var earned = 0.0
        private set

    fun run(): LoadPattern {
        sim.configure(*kinds.map { SimulatedBackends.queue(it.queue, it.priority) }.toTypedArray())
        repeat(deployment.backends) { number ->
            // The size must not depend on the speed.
            val isLarge = (number / deployment.speeds.size + number) % LARGE_EVERY == 0
            val cores = if (isLarge) deployment.cores * 3 / 2 else deployment.cores
            sim.add("b$number", deployment.speeds[number % deployment.speeds.size], cores = cores)
        }
        sim.workMs = { works.getValue(it) }
        sim.setUp()
        sim.takeOver()
        sim.run(untilMs = 100)
        kinds.forEach(::scheduleNext)
        sim.run(untilMs = seconds * 1_000L + 4_000)
        summarize()
        return this
    }

    private fun scheduleNext(kind: JobKind) {
        val phase = 2 * PI * sim.nowMs / RATE_PERIOD_MS
        val rate = kind.perSecond * loadFactor * burstFactor(kind) * (1 + amplitude * sin(phase)) / 1_000
        val gapMs = (-ln(1 - random.nextDouble()) / rate).roundToInt().coerceAtLeast(1)
        sim.after(gapMs.toLong()) {
            if (sim.nowMs > seconds * 1_000L) return@after
            submit(kind)
            scheduleNext(kind)
        }
    }

    private fun burstFactor(kind: JobKind): Double = deployment.bursts
        .filter { (it.queue == null || it.queue == kind.queue) && sim.nowMs in it.atMs..<it.atMs + it.forMs }
        .fold(1.0) { factor, burst -> factor * burst.factor }

    private fun spread(mean: Double) = mean * exp(SPREAD * gaussian() - SPREAD * SPREAD / 2)

    private fun gaussian() = List(12) { random.nextDouble() }.sum() - 6

    private fun submit(kind: JobKind) {
        val id = "${kind.queue}${kindOf.size}"
        val width = spread(kind.tasks.toDouble()).roundToInt().coerceIn(1, kind.tasks * 4)
        val jobMs = spread(kind.workMs)
        var longestMs = 0L
        for (index in 0 until width) {
            val tail = if (random.nextDouble() < deployment.tailShare) TAIL_FACTOR else 1.0
            val workMs = (jobMs * (1 + UNEVEN * gaussian()).coerceAtLeast(0.3) * tail).toLong().coerceAtLeast(1)
            works[TaskKey(JobId(id), 0, index)] = workMs
            longestMs = maxOf(longestMs, workMs)
        }
        val mean = deployment.demandMillis
        val cpu = (mean * (1 + 0.2 * gaussian())).toInt().coerceIn(mean / 3, mean * 3 / 2)
        val job = sim.job(id, width, cpu, kind.queue, spread(jobMs).toLong().coerceAtLeast(1))
        kindOf[job.id] = kind
        widthOf[job.id] = width
        submittedAt[job.id] = sim.nowMs
        objectives[job.id] = (1.6 * longestMs + 60).toLong()
        sim.submit(job, timeoutMs = maxOf(2_000, 3 * objectives.getValue(job.id)))
    }

    private fun summarize() {
        var submittedValue = 0.0
        for (kind in kinds) {
            val jobs = kindOf.filterValues { it === kind }.keys
            val result = resultOf(jobs)
            submittedValue += jobs.size * kind.value
            earned += (result.inTime + result.late * 0.2) * kind.value
            results[kind.queue] = result
            widestResults[kind.queue] = resultOf(jobs.sortedByDescending { widthOf[it] }.take(jobs.size / WIDEST_PART))
        }
        earned /= submittedValue
    }

    private fun resultOf(jobs: Collection<JobId>): KindResult {
        val inTime = jobs.count { isWithin(it, 1) }
        val late = jobs.count { !isWithin(it, 1) && isWithin(it, 3) }
        val refused = jobs.count { sim.results[it] is JobResult.NotRun }
        return KindResult(jobs.size, inTime, late, refused, jobs.size - inTime - late - refused)
    }

    private fun isWithin(job: JobId, times: Int): Boolean {
        if (sim.results[job] != JobResult.Complete) return false
        return sim.resultAtMs.getValue(job) - submittedAt.getValue(job) <= times * objectives.getValue(job)
    }

    /** Number of jobs that were refused more than [afterMs] after their submission. */
    fun refusedLate(afterMs: Long): Int = kindOf.keys.count {
        sim.results[it] is JobResult.NotRun && sim.resultAtMs.getValue(it) - submittedAt.getValue(it) > afterMs
    }

    override fun toString(): String =
        results.entries.joinToString(prefix = "earned %.3f ".format(earned)) { (kind, r) ->
            "$kind ${r.submitted}: in time ${r.inTime}, late ${r.late}, refused ${r.refused}, other ${r.other}"
        } + ", refused late ${refusedLate(35)}"

    private companion object {
        val KINDS = listOf(
            JobKind("check", priority = 0, perSecond = 21.2, tasks = 8, workMs = 51.0, value = 0.0291),
            JobKind("proof", priority = 2, perSecond = 3.85, tasks = 4, workMs = 760.0, value = 0.16),
            JobKind("tally", priority = 1, perSecond = 61.6, tasks = 2, workMs = 170.0, value = 0.01),
        )
        const val LARGE_EVERY = 3
        const val WIDEST_PART = 10
        const val RATE_PERIOD_MS = 13_000.0
        const val SPREAD = 0.4
        const val UNEVEN = 0.15
        const val TAIL_FACTOR = 7.0
    }
}

package medlarroute.lab

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * A job of a [WorkloadTrace].
 *
 * @property sizesNs actual run times of the tasks at speed 1. Only the ideal bound knows them in advance, no policy
 * does.
 * @property declaredNs run times that the caller declares; null if it declares none.
 * @property cancelNs time at which the job is cancelled; null if it is not.
 */
internal class TraceJob(
    val number: Int,
    val arrivalNs: Long,
    val instance: Int,
    val team: Int,
    val kind: String,
    val sizesNs: LongArray,
    val declaredNs: LongArray?,
    val timeoutNs: Long,
    val cancelNs: Long?,
)

/**
 * Backend speeds, job arrivals and cancellations generated at random from a [Workload]. All policies of a run use the
 * same trace, so that their figures can be compared.
 */
internal class WorkloadTrace(val workload: Workload) {
    private val random = Random(workload.seed)
    private val size = workload.size

    /**
     * Speeds of the backend servers, spaced evenly on a logarithmic scale around 1 and shuffled over failure domains.
     */
    val speeds: DoubleArray =
        DoubleArray(size.backends) { workload.speedSpread.pow(it / (size.backends - 1.0) - 0.5) }
            .toMutableList()
            .apply { shuffle(random) }
            .toDoubleArray()

    /** Work that all slots together do per second, in seconds of run time at speed 1. */
    val capacity: Double = speeds.sum() * ClusterSize.SLOTS

    private val instanceWeights = DoubleArray(size.instances) { 1.0 + (it % WEIGHT_STEPS) * WEIGHT_STEP }
    private val meanJobWork = meanJobWorkSeconds()

    /** Quota of each team in task starts per second, over all instances. */
    val teamQuota: Double
        get() = workload.quotaLoad * capacity / meanTaskSeconds() / workload.teams

    val jobs: List<TraceJob> = drawJobs()

    /**
     * Fraction of the jobs that arrive at [instance]. Quotas are split in the same proportions, as if instances lent
     * each other unused shares without delay.
     */
    fun instanceShare(instance: Int): Double = instanceWeights[instance] / instanceWeights.sum()

    fun domainOfInstance(instance: Int): Int = instance % ClusterSize.DOMAINS

    fun domainOfBackend(backend: Int): Int = backend % ClusterSize.DOMAINS

    private fun meanTasks(kind: TaskKind): Double =
        MEAN_TASKS.coerceAtMost((1 + kind.maxTasks) / 2.0)

    private fun meanKindSeconds(kind: TaskKind): Double =
        kind.medianMs * exp(kind.sigma * kind.sigma / 2) / MS_PER_SECOND * meanLongFactor()

    private fun meanLongFactor(): Double =
        1 - workload.longShare + workload.longShare * (workload.longFactorMin + workload.longFactorMax) / 2

    private fun meanJobWorkSeconds(): Double =
        workload.kinds.sumOf { it.share * meanTasks(it) * meanKindSeconds(it) } / workload.kinds.sumOf { it.share }

    private fun meanTaskSeconds(): Double =
        workload.kinds.sumOf { it.share * meanTasks(it) * meanKindSeconds(it) } /
            workload.kinds.sumOf { it.share * meanTasks(it) }

    private fun drawJobs(): List<TraceJob> {
        val jobs = ArrayList<TraceJob>()
        // Poisson arrivals at the peak rate, thinned to the rate at each time.
        val peak = workload.swing?.factor?.coerceAtLeast(1.0) ?: 1.0
        val greedyLoad = if (workload.teams == 0) 1.0 else (workload.teams - 1 + workload.greedyFactor) / workload.teams
        val rate = workload.load * capacity / meanJobWork * greedyLoad
        var atSeconds = 0.0
        while (true) {
            atSeconds += -ln(1 - random.nextDouble()) / (rate * peak)
            if (atSeconds >= workload.seconds) return jobs
            if (random.nextDouble() * peak < loadFactorAt(atSeconds)) jobs += drawJob(jobs.size, atSeconds)
        }
    }

    private fun loadFactorAt(seconds: Double): Double {
        val swing = workload.swing ?: return 1.0
        if (seconds < swing.fromSeconds || seconds > swing.toSeconds) return 1.0
        val rise = ((seconds - swing.fromSeconds) / swing.rampSeconds).coerceAtMost(1.0)
        val fall = ((swing.toSeconds - seconds) / swing.rampSeconds).coerceAtMost(1.0)
        return 1 + (swing.factor - 1) * minOf(rise, fall)
    }

    private fun drawJob(number: Int, atSeconds: Double): TraceJob {
        val kind = pickWeighted(workload.kinds, workload.kinds.map { it.share }.toDoubleArray())
        val sizes = LongArray(drawTaskCount().coerceAtMost(kind.maxTasks)) { drawSizeNs(kind) }
        val arrivalNs = (atSeconds * NS_PER_SECOND).toLong()
        return TraceJob(
            number = number,
            arrivalNs = arrivalNs,
            instance = pickWeighted(instanceWeights.indices.toList(), instanceWeights),
            team = drawTeam(),
            kind = kind.name,
            sizesNs = sizes,
            declaredNs = drawDeclared(sizes),
            timeoutNs = (workload.timeoutMs * NS_PER_MS).toLong(),
            cancelNs = drawCancelNs(arrivalNs),
        )
    }

    private fun drawTaskCount(): Int {
        val range = TASK_COUNT_RANGES[random.nextInt(TASK_COUNT_RANGES.size)]
        return range.first + random.nextInt(range.last - range.first + 1)
    }

    private fun drawSizeNs(kind: TaskKind): Long {
        val base = kind.medianMs * exp(kind.sigma * random.nextGaussian())
        val isLong = random.nextDouble() < workload.longShare
        val longFactor =
            workload.longFactorMin + random.nextDouble() * (workload.longFactorMax - workload.longFactorMin)
        return (base * (if (isLong) longFactor else 1.0) * NS_PER_MS).toLong()
    }

    private fun drawTeam(): Int {
        if (workload.teams == 0) return 0
        return pickWeighted((0 until workload.teams).toList(), DoubleArray(workload.teams) { teamWeight(it) })
    }

    private fun teamWeight(team: Int) = if (team == 0) workload.greedyFactor else 1.0

    private fun drawDeclared(sizes: LongArray): LongArray? {
        if (workload.declaredSpread <= 0) return null
        return LongArray(sizes.size) { (sizes[it] * workload.declaredSpread.pow(random.nextDouble() * 2 - 1)).toLong() }
    }

    /** A cancellation wave cancels four of five jobs that arrived in the second before it, all at the same time. */
    private fun drawCancelNs(arrivalNs: Long): Long? {
        val waveNs = (workload.cancelWaveAtSeconds ?: return null) * NS_PER_SECOND
        val inWave = arrivalNs > waveNs - NS_PER_SECOND && arrivalNs < waveNs
        return if (inWave && random.nextInt(KEPT_ONE_OF) > 0) waveNs.toLong() else null
    }

    /** Selects an item at random, with probabilities in proportion to [weights]. */
    private fun <T> pickWeighted(items: List<T>, weights: DoubleArray): T {
        var remaining = random.nextDouble() * weights.sum()
        for (index in items.indices) {
            remaining -= weights[index]
            if (remaining < 0) return items[index]
        }
        return items.last()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val WEIGHT_STEPS = 3
        const val WEIGHT_STEP = 0.5
        const val KEPT_ONE_OF = 5

        /** Task counts of jobs: two of five jobs are small, two are medium, one is large. */
        val TASK_COUNT_RANGES = listOf(1..10, 1..10, 11..40, 11..40, 41..110)
        val MEAN_TASKS = TASK_COUNT_RANGES.map { (it.first + it.last) / 2.0 }.average()
    }
}

package medlarroute.lab

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/** One job of a scenario; [sizesNs] are the true run times at speed 1, which no policy but the ideal sees. */
internal class SimJob(
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

/** Speeds, arrivals and faults drawn from a [Workload]; the same for every policy of a run. */
internal class Scenario(val workload: Workload) {
    private val random = Random(workload.seed)
    private val size = workload.size

    /** Speeds are spread evenly on a logarithmic scale around 1 and shuffled over the failure domains. */
    val speeds: DoubleArray =
        DoubleArray(size.backends) { workload.speedSpread.pow(it / (size.backends - 1.0) - 0.5) }
            .toMutableList()
            .apply { shuffle(random) }
            .toDoubleArray()

    /** Work done per second by all slots, in seconds at speed 1. */
    val capacity: Double = speeds.sum() * ClusterSize.SLOTS

    private val instanceWeights = DoubleArray(size.instances) { 1.0 + (it % WEIGHT_STEPS) * WEIGHT_STEP }
    private val meanJobWork = meanJobWorkSeconds()

    /** Quota of each team in task starts per second, over all instances. */
    val teamQuota: Double
        get() = workload.quotaLoad * capacity / meanTaskSeconds() / workload.teams

    val jobs: List<SimJob> = draw()

    /** Part of the jobs that arrives at [instance]; quotas are split alike, as if lending were perfect. */
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

    private fun draw(): List<SimJob> {
        val jobs = ArrayList<SimJob>()
        val peak = workload.swing?.factor?.coerceAtLeast(1.0) ?: 1.0
        val greedy = if (workload.teams == 0) 1.0 else (workload.teams - 1 + workload.greedyFactor) / workload.teams
        val rate = workload.load * capacity / meanJobWork * greedy
        var atSeconds = 0.0
        while (true) {
            atSeconds += -ln(1 - random.nextDouble()) / (rate * peak)
            if (atSeconds >= workload.seconds) return jobs
            if (random.nextDouble() * peak < factorAt(atSeconds)) jobs += drawJob(jobs.size, atSeconds)
        }
    }

    private fun factorAt(seconds: Double): Double {
        val swing = workload.swing ?: return 1.0
        if (seconds < swing.fromSeconds || seconds > swing.toSeconds) return 1.0
        val up = ((seconds - swing.fromSeconds) / swing.rampSeconds).coerceAtMost(1.0)
        val down = ((swing.toSeconds - seconds) / swing.rampSeconds).coerceAtMost(1.0)
        return 1 + (swing.factor - 1) * minOf(up, down)
    }

    private fun drawJob(number: Int, atSeconds: Double): SimJob {
        val kind = pick(workload.kinds, workload.kinds.map { it.share }.toDoubleArray())
        val sizes = LongArray(drawTasks().coerceAtMost(kind.maxTasks)) { drawSizeNs(kind) }
        val arrivalNs = (atSeconds * NS_PER_SECOND).toLong()
        return SimJob(
            number = number,
            arrivalNs = arrivalNs,
            instance = pick(instanceWeights.indices.toList(), instanceWeights),
            team = drawTeam(),
            kind = kind.name,
            sizesNs = sizes,
            declaredNs = declared(sizes),
            timeoutNs = (workload.timeoutMs * NS_PER_MS).toLong(),
            cancelNs = cancelAt(arrivalNs),
        )
    }

    private fun drawTasks(): Int {
        val band = TASK_BANDS[random.nextInt(TASK_BANDS.size)]
        return band.first + random.nextInt(band.last - band.first + 1)
    }

    private fun drawSizeNs(kind: TaskKind): Long {
        val base = kind.medianMs * exp(kind.sigma * random.nextGaussian())
        val long = random.nextDouble() < workload.longShare
        val stretch = workload.longFactorMin + random.nextDouble() * (workload.longFactorMax - workload.longFactorMin)
        return (base * (if (long) stretch else 1.0) * NS_PER_MS).toLong()
    }

    private fun drawTeam(): Int {
        if (workload.teams == 0) return 0
        return pick((0 until workload.teams).toList(), DoubleArray(workload.teams) { teamWeight(it) })
    }

    private fun teamWeight(team: Int) = if (team == 0) workload.greedyFactor else 1.0

    private fun declared(sizes: LongArray): LongArray? {
        if (workload.declaredSpread <= 0) return null
        return LongArray(sizes.size) { (sizes[it] * workload.declaredSpread.pow(random.nextDouble() * 2 - 1)).toLong() }
    }

    /** In a wave, four of five jobs of the second before it are cancelled at once. */
    private fun cancelAt(arrivalNs: Long): Long? {
        val waveNs = (workload.cancelWaveAtSeconds ?: return null) * NS_PER_SECOND
        val inWave = arrivalNs > waveNs - NS_PER_SECOND && arrivalNs < waveNs
        return if (inWave && random.nextInt(CANCEL_OF) > 0) waveNs.toLong() else null
    }

    private fun <T> pick(items: List<T>, weights: DoubleArray): T {
        var left = random.nextDouble() * weights.sum()
        for (index in items.indices) {
            left -= weights[index]
            if (left < 0) return items[index]
        }
        return items.last()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val WEIGHT_STEPS = 3
        const val WEIGHT_STEP = 0.5
        const val CANCEL_OF = 5

        /** Job sizes: two of five jobs are small, two are medium, one is large. */
        val TASK_BANDS = listOf(1..10, 1..10, 11..40, 11..40, 41..110)
        val MEAN_TASKS = TASK_BANDS.map { (it.first + it.last) / 2.0 }.average()
    }
}

package medlarroute.lab

import kotlinx.serialization.Serializable
import medlarroute.core.Answer
import medlarroute.core.FailureCode
import medlarroute.core.TaskId
import org.HdrHistogram.Histogram

/**
 * Figures of one policy on one workload, over the jobs that arrived after the warm-up.
 *
 * @property medianToIdeal median response time of the complete jobs, divided by the median of the ideal for these jobs.
 * @property p99ToIdeal the same for the 99th percentile.
 * @property meanToIdeal the same for the mean.
 * @property jobRatioP50 median over the complete jobs of response time to the ideal response time of the same job.
 * @property shortSlowdownP99 99th percentile, over tasks under 100 ms, of time from the job's arrival to the end of the
 *   task, divided by the run time on a backend server of speed 1.
 * @property inTimeWork work of the jobs completed within their deadline, divided by what the capacity allows.
 * @property admittedInTime complete jobs divided by complete and failed jobs, cancelled ones not counted.
 * @property wastedMessages messages to and from backend servers that produced no useful answer, divided by all.
 * @property othersRefused fraction of the jobs of the teams within their quota that were refused.
 * @property othersP99Ms 99th percentile response time of the teams within their quota.
 * @property fastestToAlone least response time of a complete job, divided by its bound alone in the cluster.
 * @property wallNsPerStart real time of the whole experiment per start, models included; not a benchmark.
 */
@Serializable
internal data class PolicyResult(
    val workload: String,
    val policy: String,
    val jobs: Int,
    val complete: Int,
    val refused: Int,
    val failed: Int,
    val failedAtDeadline: Int,
    val unanswered: Int,
    val responseMs: List<Double>,
    val idealMs: List<Double>,
    val medianToIdeal: Double,
    val p99ToIdeal: Double,
    val meanToIdeal: Double,
    val jobRatioP50: Double,
    val jobRatioP99: Double,
    val shortSlowdownP50: Double,
    val shortSlowdownP99: Double,
    val inTimeWork: Double,
    val admittedInTime: Double,
    val maxRefusalMs: Double,
    val starts: Long,
    val notStarted: Long,
    val wastedMessages: Double,
    val othersRefused: Double,
    val greedyRefused: Double,
    val othersP99Ms: Double,
    val wallNsPerStart: Long,
    val fastestToAlone: Double,
)

/** Percentiles at which distributions are reported. */
internal val PERCENTILES = listOf(1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9)

/** Counts what happens in one [Experiment]. */
internal class Tally(private val scenario: Scenario, private val ideal: Ideal, private val policy: String) {
    private val workload = scenario.workload
    private val warmupNs = (workload.warmupSeconds * NS_PER_SECOND).toLong()
    private val endNs = (workload.seconds * NS_PER_SECOND).toLong()
    private val outcomes = arrayOfNulls<Answer>(scenario.jobs.size)
    private val startsOfJob = IntArray(scenario.jobs.size)
    private val responses = histogram()
    private val ideals = histogram()
    private val ratios = histogram()
    private val shortSlowdowns = histogram()
    private val othersResponses = histogram()
    private var starts = 0L
    private var stops = 0L
    private var notStarted = 0L
    private var uselessStarts = 0L
    private var inTimeWorkNs = 0.0
    private var maxRefusalNs = 0L
    private var fastestToAlone = Double.MAX_VALUE

    fun started(task: TaskId) {
        starts++
        startsOfJob[jobNumber(task)]++
    }

    fun stopped() {
        stops++
    }

    fun notStarted(task: TaskId) {
        notStarted++
        startsOfJob[jobNumber(task)]--
    }

    fun done(task: TaskId, nowNs: Long) {
        val job = scenario.jobs[jobNumber(task)]
        val sizeNs = job.sizesNs[task.index]
        if (job.arrivalNs < warmupNs || sizeNs >= SHORT_NS) return
        record(shortSlowdowns, (nowNs - job.arrivalNs) * RATIO_SCALE / sizeNs)
    }

    fun answered(job: SimJob, answer: Answer, nowNs: Long) {
        check(outcomes[job.number] == null) { "job ${job.number} was answered twice" }
        outcomes[job.number] = answer
        val responseNs = nowNs - job.arrivalNs
        val complete = answer.isComplete()
        if (!complete) uselessStarts += startsOfJob[job.number]
        if (complete && nowNs in warmupNs..endNs) inTimeWorkNs += job.sizesNs.sum()
        if (job.arrivalNs < warmupNs) return
        if (answer is Answer.Refused) maxRefusalNs = maxOf(maxRefusalNs, responseNs)
        if (!complete) return
        fastestToAlone = minOf(fastestToAlone, responseNs.toDouble() / ideal.aloneNs[job.number])
        record(responses, responseNs / NS_PER_US)
        record(ideals, ideal.responseNs[job.number] / NS_PER_US)
        record(ratios, responseNs * RATIO_SCALE / ideal.responseNs[job.number])
        if (job.team > 0) record(othersResponses, responseNs / NS_PER_US)
    }

    fun result(wallNs: Long): PolicyResult {
        val counted = scenario.jobs.filter { it.arrivalNs >= warmupNs }
        val answers = counted.map { outcomes[it.number] }
        val complete = answers.count { it is Answer.Complete }
        val failed = answers.filterIsInstance<Answer.Failed>().filter { it.code != FailureCode.CANCELLED }
        val windowNs = (endNs - warmupNs).toDouble()
        val messages = 2 * starts + stops
        return PolicyResult(
            workload = workload.name,
            policy = policy,
            jobs = counted.size,
            complete = complete,
            refused = answers.count { it is Answer.Refused },
            failed = failed.size,
            failedAtDeadline = failed.count { it.code == FailureCode.DEADLINE },
            unanswered = answers.count { it == null },
            responseMs = PERCENTILES.map { responses.getValueAtPercentile(it) / US_PER_MS },
            idealMs = PERCENTILES.map { ideals.getValueAtPercentile(it) / US_PER_MS },
            medianToIdeal = quotient(responses, ideals, MEDIAN),
            p99ToIdeal = quotient(responses, ideals, P99),
            meanToIdeal = responses.mean / ideals.mean,
            jobRatioP50 = ratios.getValueAtPercentile(MEDIAN) / RATIO_SCALE,
            jobRatioP99 = ratios.getValueAtPercentile(P99) / RATIO_SCALE,
            shortSlowdownP50 = shortSlowdowns.getValueAtPercentile(MEDIAN) / RATIO_SCALE,
            shortSlowdownP99 = shortSlowdowns.getValueAtPercentile(P99) / RATIO_SCALE,
            inTimeWork = inTimeWorkNs / (scenario.capacity * windowNs),
            admittedInTime = complete.toDouble() / (complete + failed.size).coerceAtLeast(1),
            maxRefusalMs = maxRefusalNs / NS_PER_MS,
            starts = starts,
            notStarted = notStarted,
            wastedMessages = (2.0 * (notStarted + uselessStarts) + stops) / messages.coerceAtLeast(1),
            othersRefused = refusedFraction(counted.filter { it.team > 0 }),
            greedyRefused = refusedFraction(counted.filter { it.team == 0 }),
            othersP99Ms = othersResponses.getValueAtPercentile(P99) / US_PER_MS,
            wallNsPerStart = wallNs / starts.coerceAtLeast(1),
            fastestToAlone = fastestToAlone,
        )
    }

    private fun refusedFraction(jobs: List<SimJob>) =
        jobs.count { outcomes[it.number] is Answer.Refused }.toDouble() / jobs.size.coerceAtLeast(1)

    private fun quotient(above: Histogram, below: Histogram, percentile: Double) =
        above.getValueAtPercentile(percentile).toDouble() / below.getValueAtPercentile(percentile).coerceAtLeast(1)

    private fun record(histogram: Histogram, value: Number) =
        histogram.recordValue(value.toLong().coerceIn(1, MAX_VALUE))

    private fun jobNumber(task: TaskId) = (task.submission.sequence - 1).toInt()

    private companion object {
        const val NS_PER_US = 1_000.0
        const val US_PER_MS = 1_000.0
        const val RATIO_SCALE = 1_000.0
        const val SHORT_NS = 100_000_000L
        const val MAX_VALUE = 1_000_000_000_000L
        const val MEDIAN = 50.0
        const val P99 = 99.0

        const val DIGITS = 3

        fun histogram() = Histogram(MAX_VALUE, DIGITS)
    }
}

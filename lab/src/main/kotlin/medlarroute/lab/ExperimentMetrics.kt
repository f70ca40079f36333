package medlarroute.lab

import kotlinx.serialization.Serializable
import medlarroute.core.Answer
import medlarroute.core.FailureCode
import medlarroute.core.TaskId
import org.HdrHistogram.Histogram

/**
 * Results of one policy on one workload, over the jobs that arrived after the warm-up.
 *
 * [starts], [notStarted], [wastedMessages] and [wallNsPerStart] cover the whole run instead, and [inTimeWork] covers
 * the jobs that completed between the end of the warm-up and the end of the arrivals.
 *
 * @property responseMs response times of the complete jobs at the [PERCENTILES].
 * @property idealMs ideal response times of the complete jobs at the [PERCENTILES].
 * @property medianToIdeal median response time of the complete jobs divided by the median of their ideal response
 * times.
 * @property p99ToIdeal the same ratio for the 99th percentile.
 * @property meanToIdeal the same ratio for the mean.
 * @property jobRatioP50 median over the complete jobs of the ratio of response time to ideal response time.
 * @property jobRatioP99 99th percentile of the same ratio.
 * @property shortSlowdownP50 median slowdown of tasks under 100 ms: the time from the arrival of the job to the end of
 * the task, divided by the run time on a backend server of speed 1.
 * @property shortSlowdownP99 99th percentile of the same slowdown.
 * @property inTimeWork work of the jobs that completed within their deadline, as a fraction of the capacity.
 * @property admittedInTime complete jobs divided by complete and failed jobs; cancelled jobs are not counted.
 * @property wastedMessages fraction of the messages to and from backend servers that did not contribute to a complete
 * answer.
 * @property othersRefused fraction of the jobs of the teams within their quota that were refused.
 * @property greedyRefused fraction of the jobs of the team over its quota that were refused.
 * @property othersP99Ms 99th percentile of the response time of the teams within their quota.
 * @property wallNsPerStart wall-clock time of the whole simulation per task start. It includes the models, so it is not
 * a benchmark of the policy.
 * @property fastestToAlone minimum over the complete jobs of the response time divided by [IdealBound.aloneNs].
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

/** Collects the counters and histograms of one [Experiment]. */
internal class ExperimentMetrics(
    private val trace: WorkloadTrace,
    private val ideal: IdealBound,
    private val policy: String,
) {
    private val workload = trace.workload
    private val warmupNs = (workload.warmupSeconds * NS_PER_SECOND).toLong()
    private val endNs = (workload.seconds * NS_PER_SECOND).toLong()
    private val answers = arrayOfNulls<Answer>(trace.jobs.size)
    private val startsOfJob = IntArray(trace.jobs.size)
    private val responses = histogram()
    private val ideals = histogram()
    private val ratios = histogram()
    private val shortSlowdowns = histogram()
    private val othersResponses = histogram()
    private var starts = 0L
    private var stops = 0L
    private var notStarted = 0L
    private var startsOfIncompleteJobs = 0L
    private var inTimeWorkNs = 0.0
    private var maxRefusalNs = 0L
    private var fastestToAlone = Double.MAX_VALUE

    fun recordStart(task: TaskId) {
        starts++
        startsOfJob[jobNumber(task)]++
    }

    fun recordStop() {
        stops++
    }

    fun recordNotStarted(task: TaskId) {
        notStarted++
        startsOfJob[jobNumber(task)]--
    }

    fun recordDone(task: TaskId, nowNs: Long) {
        val job = trace.jobs[jobNumber(task)]
        val sizeNs = job.sizesNs[task.index]
        if (job.arrivalNs < warmupNs || sizeNs >= SHORT_TASK_NS) return
        record(shortSlowdowns, (nowNs - job.arrivalNs) * RATIO_SCALE / sizeNs)
    }

    fun recordAnswer(job: TraceJob, answer: Answer, nowNs: Long) {
        check(answers[job.number] == null) { "job ${job.number} was answered twice" }
        answers[job.number] = answer
        val responseNs = nowNs - job.arrivalNs
        val complete = answer.isComplete()
        if (!complete) startsOfIncompleteJobs += startsOfJob[job.number]
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
        val counted = trace.jobs.filter { it.arrivalNs >= warmupNs }
        val countedAnswers = counted.map { answers[it.number] }
        val complete = countedAnswers.count { it is Answer.Complete }
        val failed = countedAnswers.filterIsInstance<Answer.Failed>().filter { it.code != FailureCode.CANCELLED }
        val windowNs = (endNs - warmupNs).toDouble()
        val messages = 2 * starts + stops
        return PolicyResult(
            workload = workload.name,
            policy = policy,
            jobs = counted.size,
            complete = complete,
            refused = countedAnswers.count { it is Answer.Refused },
            failed = failed.size,
            failedAtDeadline = failed.count { it.code == FailureCode.DEADLINE },
            unanswered = countedAnswers.count { it == null },
            responseMs = PERCENTILES.map { responses.getValueAtPercentile(it) / US_PER_MS },
            idealMs = PERCENTILES.map { ideals.getValueAtPercentile(it) / US_PER_MS },
            medianToIdeal = percentileRatio(responses, ideals, MEDIAN),
            p99ToIdeal = percentileRatio(responses, ideals, P99),
            meanToIdeal = responses.mean / ideals.mean,
            jobRatioP50 = ratios.getValueAtPercentile(MEDIAN) / RATIO_SCALE,
            jobRatioP99 = ratios.getValueAtPercentile(P99) / RATIO_SCALE,
            shortSlowdownP50 = shortSlowdowns.getValueAtPercentile(MEDIAN) / RATIO_SCALE,
            shortSlowdownP99 = shortSlowdowns.getValueAtPercentile(P99) / RATIO_SCALE,
            inTimeWork = inTimeWorkNs / (trace.capacity * windowNs),
            admittedInTime = complete.toDouble() / (complete + failed.size).coerceAtLeast(1),
            maxRefusalMs = maxRefusalNs / NS_PER_MS,
            starts = starts,
            notStarted = notStarted,
            wastedMessages = (2.0 * (notStarted + startsOfIncompleteJobs) + stops) / messages.coerceAtLeast(1),
            othersRefused = refusedFraction(counted.filter { it.team > 0 }),
            greedyRefused = refusedFraction(counted.filter { it.team == 0 }),
            othersP99Ms = othersResponses.getValueAtPercentile(P99) / US_PER_MS,
            wallNsPerStart = wallNs / starts.coerceAtLeast(1),
            fastestToAlone = fastestToAlone,
        )
    }

    private fun refusedFraction(jobs: List<TraceJob>) =
        jobs.count { answers[it.number] is Answer.Refused }.toDouble() / jobs.size.coerceAtLeast(1)

    private fun percentileRatio(numerator: Histogram, denominator: Histogram, percentile: Double) =
        numerator.getValueAtPercentile(percentile).toDouble() /
            denominator.getValueAtPercentile(percentile).coerceAtLeast(1)

    private fun record(histogram: Histogram, value: Number) =
        histogram.recordValue(value.toLong().coerceIn(1, MAX_VALUE))

    private fun jobNumber(task: TaskId) = (task.submission.sequence - 1).toInt()

    private companion object {
        const val NS_PER_US = 1_000.0
        const val US_PER_MS = 1_000.0

        /** Ratios are recorded in thousandths, since histograms only hold integers. */
        const val RATIO_SCALE = 1_000.0
        const val SHORT_TASK_NS = 100_000_000L
        const val MAX_VALUE = 1_000_000_000_000L
        const val MEDIAN = 50.0
        const val P99 = 99.0

        const val SIGNIFICANT_DIGITS = 3

        fun histogram() = Histogram(MAX_VALUE, SIGNIFICANT_DIGITS)
    }
}

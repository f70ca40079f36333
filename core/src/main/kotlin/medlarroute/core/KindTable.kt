package medlarroute.core

import org.HdrHistogram.IntCountsHistogram
import kotlin.math.exp
import kotlin.math.ln

/**
 * Run times of a kind of task at speed 1, learned from replies.
 *
 * Quantiles come from two histograms that are rotated about every [HISTOGRAM_SAMPLES] samples, so that a run time is
 * dropped after one to two rotations.
 * Declared run times have weight only as far as they predict the actual ones: the logarithm of the run time is
 * regressed on the logarithm of the declared one with decaying sums, so that declarations without information get a
 * slope near 0.
 */
internal class KindRow {
    private var current = histogram()
    private var previous = histogram()
    private var samplesUntilRefresh = 1
    private var samples = 0.0
    private var meanNs = DEFAULT_NS
    private var meanLog = ln(DEFAULT_NS)
    private var medianNs = DEFAULT_NS
    private var p90Ns = DEFAULT_NS
    private var p99Ns = DEFAULT_NS
    private var declaredSamples = 0.0
    private var meanLogDeclared = 0.0
    private var meanLogRun = 0.0
    private var varianceDeclared = 0.0
    private var covariance = 0.0
    private var varianceRun = 0.0

    /** Exponentially weighted fraction of tasks that failed. */
    var failureRatio = 0.0
        private set

    val isKnown: Boolean get() = samples >= MIN_SAMPLES

    fun medianNs(): Double = medianNs

    /** Expected longest run time among [tasks] tasks. */
    fun longestNs(tasks: Int): Double =
        when {
            tasks < P90_TASKS -> medianNs
            tasks < P99_TASKS -> p90Ns
            else -> p99Ns
        }

    fun record(runNs: Double, declaredNs: Long?) {
        samples = (samples + 1).coerceAtMost(MAX_SAMPLES)
        meanNs += (runNs - meanNs) / samples
        meanLog += (ln(runNs.coerceAtLeast(1.0)) - meanLog) / samples
        failureRatio -= failureRatio * FAILURE_STEP
        current.recordValue((runNs / UNIT_NS).toLong().coerceIn(1, MAX_UNITS))
        if (--samplesUntilRefresh <= 0) refresh()
        if (declaredNs == null || declaredNs <= 0) return
        recordDeclared(ln(declaredNs.toDouble()), ln(runNs.coerceAtLeast(1.0)))
    }

    fun recordFailure() {
        failureRatio += (1 - failureRatio) * FAILURE_STEP
    }

    fun estimateNs(declaredNs: Long?): Double {
        if (declaredNs == null || declaredNs <= 0) return meanNs
        if (declaredSamples < MIN_SAMPLES) {
            return if (isKnown) meanNs else declaredNs.toDouble().coerceIn(DECLARED_RANGE)
        }
        val slope = slope()
        // The mean of a log-normal distribution lies above its median by half of the variance.
        val residual = (varianceRun - slope * covariance).coerceIn(0.0, MAX_RESIDUAL)
        return exp(meanLogRun + slope * (ln(declaredNs.toDouble()) - meanLogDeclared) + residual / 2)
    }

    /** Expected natural logarithm of the run time in nanoseconds. */
    fun expectedLog(declaredNs: Long?): Double {
        if (declaredNs == null || declaredNs <= 0 || declaredSamples < MIN_SAMPLES) return meanLog
        return meanLogRun + slope() * (ln(declaredNs.toDouble()) - meanLogDeclared)
    }

    private fun slope(): Double =
        if (varianceDeclared < MIN_VARIANCE) 0.0 else (covariance / varianceDeclared).coerceIn(0.0, 1.0)

    private fun recordDeclared(logDeclared: Double, logRun: Double) {
        declaredSamples = (declaredSamples + 1).coerceAtMost(MAX_SAMPLES)
        val weight = 1 / declaredSamples
        val declaredDelta = logDeclared - meanLogDeclared
        val runDelta = logRun - meanLogRun
        meanLogDeclared += declaredDelta * weight
        meanLogRun += runDelta * weight
        varianceDeclared += (declaredDelta * (logDeclared - meanLogDeclared) - varianceDeclared) * weight
        covariance += (declaredDelta * (logRun - meanLogRun) - covariance) * weight
        varianceRun += (runDelta * (logRun - meanLogRun) - varianceRun) * weight
    }

    private fun refresh() {
        samplesUntilRefresh = REFRESH_SAMPLES.coerceAtMost(samples.toInt())
        val source = if (previous.totalCount > current.totalCount) previous else current
        medianNs = source.getValueAtPercentile(MEDIAN) * UNIT_NS
        p90Ns = source.getValueAtPercentile(P90) * UNIT_NS
        p99Ns = source.getValueAtPercentile(P99) * UNIT_NS
        if (current.totalCount < HISTOGRAM_SAMPLES) return
        val oldest = previous
        previous = current
        current = oldest.apply { reset() }
    }

    private companion object {
        /** Assumed run time before the first sample. */
        const val DEFAULT_NS = 200.0 * NS_PER_MS

        /** Resolution of the histograms. */
        const val UNIT_NS = 100_000.0
        const val MAX_UNITS = 36_000_000L
        const val DIGITS = 2
        const val MIN_SAMPLES = 8.0
        const val MAX_SAMPLES = 500.0
        const val REFRESH_SAMPLES = 64
        const val HISTOGRAM_SAMPLES = 2_000L
        const val MEDIAN = 50.0
        const val P90 = 90.0
        const val P99 = 99.0

        /** From this number of tasks on, the longest is expected at the 90th or 99th percentile. */
        const val P90_TASKS = 3
        const val P99_TASKS = 25
        const val FAILURE_STEP = 0.02
        const val MIN_VARIANCE = 0.01
        const val MAX_RESIDUAL = 4.0
        val DECLARED_RANGE = 50.0 * NS_PER_MS..1_000.0 * NS_PER_MS

        fun histogram() = IntCountsHistogram(1, MAX_UNITS, DIGITS)
    }
}

/** Rows by kind. Kinds beyond [MAX_KINDS] share one row, so that callers can't exhaust the memory with names. */
internal class KindTable {
    private val rows = HashMap<KindId, KindRow>()
    private val shared = KindRow()

    /** Run times of all kinds together. */
    val all = KindRow()

    fun of(kind: KindId): KindRow {
        rows[kind]?.let { return it }
        if (rows.size >= MAX_KINDS) return shared
        return KindRow().also { rows[kind] = it }
    }

    private companion object {
        const val MAX_KINDS = 500
    }
}

package medlarroute.core

import org.HdrHistogram.IntCountsHistogram
import kotlin.math.exp
import kotlin.math.ln

/**
 * Run times of a kind of task at speed 1, learned from replies.
 *
 * Quantiles come from two histograms that take turns, so that old run times are forgotten after one to two turns.
 * Declared run times count as far as they predict: the logarithm of the run time is regressed on the logarithm of the
 * declared one with decaying sums, and a declaration that is noise gets a slope near 0.
 */
internal class KindRow {
    private var current = histogram()
    private var previous = histogram()
    private var untilRefresh = 1
    private var samples = 0.0
    private var meanNs = DEFAULT_NS
    private var meanLog = ln(DEFAULT_NS)
    private var medianNs = DEFAULT_NS
    private var p90Ns = DEFAULT_NS
    private var p99Ns = DEFAULT_NS
    private var pairs = 0.0
    private var meanX = 0.0
    private var meanY = 0.0
    private var varianceX = 0.0
    private var covariance = 0.0
    private var varianceY = 0.0

    /** Decaying fraction of tasks that ended in failure. */
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
        if (--untilRefresh <= 0) refresh()
        if (declaredNs != null && declaredNs > 0) learnDeclared(ln(declaredNs.toDouble()), ln(runNs.coerceAtLeast(1.0)))
    }

    fun recordFailure() {
        failureRatio += (1 - failureRatio) * FAILURE_STEP
    }

    fun estimateNs(declaredNs: Long?): Double {
        if (declaredNs == null || declaredNs <= 0) return meanNs
        if (pairs < MIN_SAMPLES) return if (isKnown) meanNs else declaredNs.toDouble().coerceIn(DECLARED_RANGE)
        val slope = slope()
        // The mean of a log-normal distribution lies above its median by half of the variance.
        val rest = (varianceY - slope * covariance).coerceIn(0.0, MAX_REST)
        return exp(meanY + slope * (ln(declaredNs.toDouble()) - meanX) + rest / 2)
    }

    /** Expected natural logarithm of the run time in nanoseconds. */
    fun expectedLog(declaredNs: Long?): Double {
        if (declaredNs == null || declaredNs <= 0 || pairs < MIN_SAMPLES) return meanLog
        return meanY + slope() * (ln(declaredNs.toDouble()) - meanX)
    }

    private fun slope(): Double = if (varianceX < MIN_VARIANCE) 0.0 else (covariance / varianceX).coerceIn(0.0, 1.0)

    private fun learnDeclared(x: Double, y: Double) {
        pairs = (pairs + 1).coerceAtMost(MAX_SAMPLES)
        val weight = 1 / pairs
        val offX = x - meanX
        val offY = y - meanY
        meanX += offX * weight
        meanY += offY * weight
        varianceX += (offX * (x - meanX) - varianceX) * weight
        covariance += (offX * (y - meanY) - covariance) * weight
        varianceY += (offY * (y - meanY) - varianceY) * weight
    }

    private fun refresh() {
        untilRefresh = REFRESH.coerceAtMost(samples.toInt())
        val from = if (previous.totalCount > current.totalCount) previous else current
        medianNs = from.getValueAtPercentile(MEDIAN) * UNIT_NS
        p90Ns = from.getValueAtPercentile(P90) * UNIT_NS
        p99Ns = from.getValueAtPercentile(P99) * UNIT_NS
        if (current.totalCount < TURN) return
        val oldest = previous
        previous = current
        current = oldest.apply { reset() }
    }

    private companion object {
        const val DEFAULT_NS = 200.0 * NS_PER_MS
        const val UNIT_NS = 100_000.0
        const val MAX_UNITS = 36_000_000L
        const val DIGITS = 2
        const val MIN_SAMPLES = 8.0
        const val MAX_SAMPLES = 500.0
        const val REFRESH = 64
        const val TURN = 2_000L
        const val MEDIAN = 50.0
        const val P90 = 90.0
        const val P99 = 99.0
        const val P90_TASKS = 3
        const val P99_TASKS = 25
        const val FAILURE_STEP = 0.02
        const val MIN_VARIANCE = 0.01
        const val MAX_REST = 4.0
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

package medlarroute.dispatch

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Learns the run time of the tasks of a queue at speed 1.
 *
 * Callers' estimates are often far off, but tell jobs of one queue apart, so a prediction is the geometric mean of the
 * caller's estimate and what was measured.
 */
internal class RunTimeEstimate {
    private var meanLog = 0.0
    private var weight = 0.0

    fun record(runMs: Double) {
        weight = (weight * DECAY + 1)
        meanLog += (ln(runMs.coerceAtLeast(1.0)) - meanLog) / weight
    }

    fun predictMs(declaredMs: Long): Double {
        val measuredMs = if (weight >= MIN_SAMPLES) exp(meanLog) else null
        return when {
            measuredMs == null && declaredMs <= 0 -> DEFAULT_MS
            measuredMs == null -> declaredMs.toDouble()
            declaredMs <= 0 -> measuredMs
            else -> sqrt(measuredMs * declaredMs)
        }
    }

    private companion object {
        /** About the last 200 runs count. */
        const val DECAY = 0.995
        const val MIN_SAMPLES = 10.0

        /** Sub-second tasks are the product's purpose; used only until something is known. */
        const val DEFAULT_MS = 200.0
    }
}

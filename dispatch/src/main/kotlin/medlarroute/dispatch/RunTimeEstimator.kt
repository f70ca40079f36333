package medlarroute.dispatch

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Predicts the run time of the tasks of a queue on a backend server of speed 1.
 *
 * Callers' estimates are often far off, but distinguish the jobs of one queue, so a prediction is the geometric mean of
 * the caller's estimate and the measured run times.
 */
internal class RunTimeEstimator {
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
        /** Weights the measurements exponentially; about the last 200 runs count. */
        const val DECAY = 0.995
        const val MIN_SAMPLES = 10.0

        /**
         * Used while there is neither an estimate nor enough measurements. Tasks usually take less than a second.
         */
        const val DEFAULT_MS = 200.0
    }
}

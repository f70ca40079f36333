package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.junit.jupiter.api.Test

/**
 * High load: the rate varies by 0.55 around its mean, at a mean load within the capacity of the backend servers (0.6)
 * and at loads whose peaks exceed it (1.6 and 2.5).
 *
 * The bounds are those of the deployments: at most a fraction of 0.6 of the requests is refused or fails, no kind is
 * served less than half as often as all kinds together, and refusals are immediate.
 */
class LoadPeakTest {
    @Test
    fun `at a load within capacity nearly all jobs end in time`() {
        val pattern = LoadPattern(loadFactor = 0.6).run()
        pattern.results.values.forEach { (it.inTime.toDouble() / it.submitted) shouldBeGreaterThan MIN_IN_TIME_SHARE }
        pattern.sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against jobs that queue until they are late, and against starvation of one kind of job. */
    @Test
    fun `at peaks above capacity every kind is served and refusals are immediate`() {
        for (load in listOf(1.6, 2.5)) {
            val pattern = LoadPattern(load).run()
            val results = pattern.results.values
            val submitted = results.sumOf { it.submitted }
            val share = results.sumOf { it.inTime + it.late }.toDouble() / submitted
            share shouldBeGreaterThan 1 - MAX_UNSERVED_SHARE
            results.forEach { ((it.inTime + it.late).toDouble() / it.submitted) shouldBeGreaterThan share / 2 }
            val refused = results.sumOf { it.refused }
            (pattern.refusedLate(IMMEDIATE_MS).toDouble() / refused) shouldBeLessThan MAX_LATE_REFUSALS_SHARE
        }
    }

    /** Guards against serving queued jobs late instead of new ones that could still end in time. */
    @Test
    fun `at peaks above capacity few results are late`() {
        val results = LoadPattern(loadFactor = 1.6).run().results.values
        val late = results.sumOf { it.late }.toDouble()
        (late / results.sumOf { it.inTime + it.late }) shouldBeLessThan MAX_LATE_RESULTS_SHARE
    }

    private companion object {
        const val MIN_IN_TIME_SHARE = 0.95
        const val MAX_UNSERVED_SHARE = 0.6

        /** A quarter of the objective's fixed part of 60 ms. */
        const val IMMEDIATE_MS = 15L
        const val MAX_LATE_REFUSALS_SHARE = 0.05
        const val MAX_LATE_RESULTS_SHARE = 0.1
    }
}

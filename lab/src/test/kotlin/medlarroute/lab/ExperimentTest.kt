package medlarroute.lab

import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ExperimentTest {
    private val workload = Workload("test", load = 0.6, seconds = 4.0, warmupSeconds = 1.0, speedSpread = 2.0)
    private val scenario = Scenario(workload)
    private val policy =
        Policy("engine") {
            EngineDispatcher(Engine(EngineSettings(failureDomain = it.failureDomain), it.clock, Random(it.instance)))
        }

    private fun run() = Experiment(scenario, policy, Ideal(scenario)).run().copy(wallNsPerStart = 0)

    /** A figure that changes from run to run could not be compared with the one before a change. */
    @Test
    fun `the same seed gives the same figures`() {
        run() shouldBe run()
    }

    /** A bound above a measured response would make every ratio to the ideal look too good. */
    @Test
    fun `every job is answered and none is faster than its bound alone in the cluster`() {
        val result = run()
        result.unanswered shouldBe 0
        result.jobs shouldBe result.complete + result.refused + result.failed
        result.fastestToAlone shouldBeGreaterThanOrEqual 1.0
    }
}

package medlarroute.lab

import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ExperimentTest {
    private val workload = Workload("test", load = 0.6, seconds = 4.0, warmupSeconds = 1.0, speedSpread = 2.0)
    private val trace = WorkloadTrace(workload)
    private val policy =
        Policy("engine") {
            EngineDispatcher(Engine(EngineSettings(failureDomain = it.failureDomain), it.clock, Random(it.instance)))
        }

    private fun run() = Experiment(trace, policy, IdealBound(trace)).run().copy(wallNsPerStart = 0)

    // Guards against figures that vary between runs and so can't show the effect of a change.
    @Test
    fun `the same seed gives the same figures`() {
        run() shouldBe run()
    }

    // Guards against a bound that is too high, which would make every ratio to the ideal look too good.
    @Test
    fun `every job is answered, and none is faster than its lower bound in an empty cluster`() {
        val result = run()
        result.unanswered shouldBe 0
        result.jobs shouldBe result.complete + result.refused + result.failed
        result.fastestToAlone shouldBeGreaterThanOrEqual 1.0
    }
}

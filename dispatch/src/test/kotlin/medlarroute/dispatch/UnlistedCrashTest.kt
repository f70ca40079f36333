package medlarroute.dispatch

import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test

/** Crashes count although the backend server is not listed when they are noticed or when it is back. */
class UnlistedCrashTest {
    private val guilty = TaskKey(JobId("guilty"), 0, 0)

    private fun simulation() = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        repeat(8) { add("b$it") }
        takeOver()
        isSilentWhenDown = true
        crashesAfterMs = { task -> if (task == guilty) 5 else null }
        run(untilMs = 100)
        submit(job("guilty", tasks = 1), timeoutMs = 60_000)
    }

    /** Runs until [untilMs]. Crashed backend servers are listed for another [listedMs], then when they are back. */
    private fun SimulatedBackends.runUnlistingCrashed(untilMs: Long, listedMs: Long) {
        val downSinceMs = HashMap<SimulatedBackends.Backend, Long>()
        while (nowMs < untilMs) {
            run(nowMs + 1)
            backends.values.filter { it.isDown }.forEach { downSinceMs.putIfAbsent(it, nowMs) }
            val listed = backends.values.filter { nowMs - (downSinceMs[it] ?: nowMs + 1) < listedMs }
            dispatcher.updateBackends(listed.map { it.info })
        }
    }

    private fun SimulatedBackends.shouldHaveGivenUp(maxStarts: Int) {
        startsByTask.getValue(guilty) shouldBeLessThanOrEqual maxStarts
        results[guilty.job].shouldBeInstanceOf<JobResult.Failed>()
        concurrentRuns.size shouldBe 0
    }

    /** Guards against forgetting silent backend servers that are unlisted, as in the soak test with seed 1. */
    @Test
    fun `a task is given up when its silent backend servers are unlisted before their leases lapse`() {
        val sim = simulation()
        sim.runUnlistingCrashed(untilMs = 30_000, listedMs = 300)
        sim.shouldHaveGivenUp(maxStarts = 3)
    }

    /** Guards against forgetting the runs on a backend server that is unlisted before the owner notices its crash. */
    @Test
    fun `a task is given up when its backend servers are unlisted as they crash`() {
        val sim = simulation()
        sim.runUnlistingCrashed(untilMs = 30_000, listedMs = 0)
        sim.shouldHaveGivenUp(maxStarts = 5)
    }

    /** Guards against possible crashes that nothing proves, since the new process has another id. */
    @Test
    fun `a task is given up when its unlisted backend servers restart under other ids`() {
        for (listedMs in listOf(0L, 300L, 2_200L)) {
            val sim = simulation()
            sim.restartsUnderNewId = true
            sim.runUnlistingCrashed(untilMs = 30_000, listedMs)
            sim.shouldHaveGivenUp(maxStarts = 5)
        }
    }
}

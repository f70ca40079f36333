package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import medlarroute.allocation.ShareSettings
import org.junit.jupiter.api.Test

class QueueSharingTest {
    private fun sim(weights: List<Double>?, idleQueues: Int = 0): SimulatedBackends {
        val sim = SimulatedBackends(settings = DispatchSettings(sharing = weights?.let(::ShareSettings)))
        val idle = List(idleQueues) { SimulatedBackends.queue("idle$it", 0) }
        sim.configure(
            SimulatedBackends.queue("q0", 0, objectiveMs = 1_500),
            SimulatedBackends.queue("q1", 1, objectiveMs = 1_900),
            *idle.toTypedArray(),
        )
        sim.add("b1", cores = 16)
        sim.takeOver()
        sim.run(untilMs = 100)
        sim.workMs = { 200 }
        return sim
    }

    /** The queue of the second job to run, while two jobs of q0 with less time left and one of q1 wait. */
    private fun second(weights: List<Double>?, idleQueues: Int = 0): List<String> {
        val sim = sim(weights, idleQueues)
        listOf("a" to "q0", "b" to "q0", "c" to "q1").forEach { (id, queue) ->
            sim.submit(sim.job(id, tasks = 2, cpuMillis = 8_000, queue, estimateMs = 200))
            sim.run(untilMs = sim.nowMs + 5)
        }
        sim.run(untilMs = 400)
        return sim.backends.getValue("b1").running.keys.map { it.job.value }.distinct()
    }

    /** Guards against capacity that ends up with a queue above its share while another one waits below its own. */
    @Test
    fun `what becomes free goes to the queue below its share`() {
        second(weights = null) shouldBe listOf("b")
        second(weights = listOf(1.0, 4.0)) shouldContain "c"
    }

    /** Guards against shares that shrink to nothing with the number of configured queues. */
    @Test
    fun `queues without work take no part of the shares`() {
        second(weights = listOf(1.0, 4.0), idleQueues = 40) shouldContain "c"
    }

    /** Guards against callers that return together and meet the same queue, and refusals without their inputs. */
    @Test
    fun `retry times are spread and refusals have their inputs`() {
        val sim = sim(listOf(1.0, 1.0))
        repeat(60) { sim.submit(sim.job("j$it", tasks = 2, cpuMillis = 8_000, "q0", estimateMs = 200)) }
        val refusals = sim.results.values.filterIsInstance<JobResult.NotRun>()
        refusals.map { it.retryAfterMs.shouldNotBeNull() }.toSet().size shouldBeGreaterThan refusals.size / 2
        refusals.forEach { checkNotNull(it.retryAfterMs) shouldBeGreaterThanOrEqual 1_000 }
        val line = sim.events.first { "job-refused" in it }
        listOf("share", "used", "queued", "placeableShare", "retryAfterMs").forEach { line shouldContain it }
    }

    private infix fun Long.shouldBeGreaterThanOrEqual(least: Long) = (this >= least) shouldBe true
}

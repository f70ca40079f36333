package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import org.junit.jupiter.api.Test

class PackingTest {
    /** Guards against a tie rule that never applies, since learned speeds are never equal. */
    @Test
    fun `of backend servers with about the same speed the tighter fit is chosen`() {
        val sim = SimulatedBackends()
        sim.configure(SimulatedBackends.queue())
        listOf("large" to 24, "small" to 16).forEach { (id, cores) ->
            sim.add(id, cores = cores).let { sim.backends[id] = sim.Backend(it.info.copy(labels = listOf(id)), 1.0) }
        }
        sim.takeOver()
        sim.run(untilMs = 100)
        sim.workMs = { 55 }
        val step = StepRequest(1, Resources(12_000, 64, 0), 50)
        sim.submit(sim.job("warm-up", listOf(step.copy(requiredLabel = "large"))))
        sim.run(untilMs = 400)
        sim.submit(sim.job("first", listOf(step)))
        sim.submit(sim.job("second", listOf(step.copy(demand = Resources(24_000, 64, 0)))))
        sim.run(untilMs = 420)
        val running = sim.backends.values.flatMap { backend ->
            backend.running.keys.map {
                it.job.value to
                    backend.info.id
            }
        }
        running shouldContainExactlyInAnyOrder listOf("first" to "small", "second" to "large")
    }
}

package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import org.junit.jupiter.api.Test

/** Reports of backend servers that an owner reads only after its machine was suspended. */
class LateReportTest {
    private val sim = SimulatedBackends()
    private val clocks = SimulatedClocks(sim.clock)
    private val owner = sim.addOwner(clock = clocks.machine.elapsed)

    init {
        sim.kill(sim.owners.first())
        sim.add("b")
        sim.configure(owner, SimulatedBackends.queue())
        owner.dispatcher.acquire("d1", 1)
        owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
        sim.run(untilMs = 100)
    }

    private fun submit(job: String) = owner.dispatcher.submit(
        sim.job(job, tasks = 1, cpuMillis = 1_000, estimateMs = 3_000),
        JobOrigin("i1", job.hashCode().toLong()),
        timeoutMs = 60_000,
    )

    private fun suspendFor(ms: Long) {
        owner.isFrozen = true
        clocks.suspend()
        sim.run(sim.nowMs + ms)
        clocks.resume()
        owner.isFrozen = false
    }

    /**
     * Guards against the age of a progress that the clock of the owner measures although the report is from before the
     * suspension.
     */
    @Test
    fun `a run does not count as hung since its owner was suspended`() {
        // The report on the end of the first short run comes before the suspension, that on the second during it.
        sim.workMs = { mapOf("one" to 20L, "two" to 60L)[it.job.value] ?: 9_000L }
        listOf("long", "one", "two").forEach(::submit)
        sim.run(sim.nowMs + 40)
        suspendFor(1_000)
        sim.run(sim.nowMs + 200)
        sim.events.filter { "run-hung" in it || "ejected" in it }.shouldBeEmpty()
    }

    /** Guards against starts that the backend server rejects as expired, again and again until its next report. */
    @Test
    fun `a report that was read late does not make starts expire`() {
        sim.workMs = { 1_000 }
        suspendFor(1_000)
        sim.run(sim.nowMs + 30)
        submit("j")
        sim.run(sim.nowMs + 300)
        sim.events.count { "start-rejected" in it && "EXPIRED" in it } shouldBeLessThan 3
    }
}

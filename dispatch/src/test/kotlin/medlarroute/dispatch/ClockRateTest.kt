package medlarroute.dispatch

import io.kotest.matchers.comparables.shouldBeGreaterThan
import org.junit.jupiter.api.Test

/** The wait of the next owner of a job, on machines whose clocks differ in their rates. */
class ClockRateTest {
    /**
     * Time between the end of the last run under two owners whose clocks have [ownerRate], and the start at another
     * owner whose clock has [nextRate]. The job goes to that owner at the moment of its last renewal. The first owner
     * ends [diesAfterMs] later; its successor finds the run, and stops and messages between owners are lost.
     */
    private fun marginMs(ownerRate: Double, nextRate: Double, diesAfterMs: Long): Long {
        val sim = SimulatedBackends()
        sim.workMs = { 9_000 }
        sim.lateStopByMs = { 20_000 }
        sim.losesOwnerMessages = true
        val job = sim.job("j", tasks = 1, estimateMs = 3_000)

        fun owner(domain: String, rate: Double, token: Long): SimulatedBackends.Owner {
            val owner = sim.addOwner(clock = SimulatedClocks(sim.clock, rate).machine.elapsed)
            sim.configure(owner, SimulatedBackends.queue())
            owner.dispatcher.acquire(domain, token)
            owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
            return owner
        }
        sim.add("d1-b", domain = "d1")
        sim.add("d2-b", domain = "d2")
        val first = owner("d1", ownerRate, token = 1)
        val next = owner("d2", nextRate, token = 1)
        sim.run(untilMs = 100)
        first.dispatcher.submit(job, JobOrigin("i1", 1), timeoutMs = 60_000)
        sim.run(RENEWED_AT_MS)
        sim.silentInstances += "i1"
        next.dispatcher.submit(job, JobOrigin("i2", 1), timeoutMs = 60_000, progress = JobProgress())
        sim.run(RENEWED_AT_MS + diesAfterMs)
        sim.kill(first)
        owner("d1", ownerRate, token = 2)
        sim.run(RENEWED_AT_MS + 3_000)
        val endMs = timeOf(sim, "server d1-b ends")
        return timeOf(sim, "server d2-b starts") - endMs
    }

    private fun timeOf(sim: SimulatedBackends, event: String): Long =
        sim.trace.first { event in it }.substringBefore(' ').toLong()

    /** Guards against a wait without a reserve for the time that a backend server takes to stop an expired run. */
    @Test
    fun `the next owner of a job starts after the last run if clocks differ by 2 percent`() {
        val margins = (0L..1_100L step 10).map { marginMs(ownerRate = 0.99, nextRate = 1.01, diesAfterMs = it) }
        margins.min() shouldBeGreaterThan STOP_GRACE_MS
    }

    private companion object {
        const val RENEWED_AT_MS = 1_000L

        /** How long a backend server goes on with a run whose lease has expired, by the bounds of the platform. */
        const val STOP_GRACE_MS = 50L
    }
}

package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Machines that are suspended for a while, whose steady clocks do not count that time. */
class SuspendedMachineTest {
    private val sim = SimulatedBackends()
    private val clocks = SimulatedClocks(sim.clock)
    private val first = addOwner("d1", clocks)
    private val second = addOwner("d2", SimulatedClocks(sim.clock))

    private fun addOwner(domain: String, clocks: SimulatedClocks): SimulatedBackends.Owner {
        val owner = sim.addOwner(clock = clocks.machine.elapsed)
        sim.add("$domain-b", domain = domain)
        sim.configure(owner, SimulatedBackends.queue())
        owner.dispatcher.acquire(domain, 1)
        owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
        return owner
    }

    private fun submit(owner: SimulatedBackends.Owner, job: JobRequest, instance: String, progress: JobProgress?) =
        owner.dispatcher.submit(job, JobOrigin(instance, 1), timeoutMs = 60_000, progress = progress)

    /** Guards against an owner that takes the renewals from before a suspension for recent ones. */
    @Test
    fun `an owner that was suspended starts no task of a job that another owner runs`() {
        sim.workMs = { 9_000 }
        sim.run(untilMs = 100)
        val job = sim.job("j", tasks = 1, estimateMs = 3_000)
        submit(first, job, "i1", progress = null)
        sim.run(untilMs = 1_000)
        sim.silentInstances += "i1"
        first.isFrozen = true
        clocks.suspend()
        sim.run(sim.nowMs + 300)
        submit(second, job, "i2", JobProgress())
        sim.run(sim.nowMs + 1_700)
        sim.starts shouldBe 2
        clocks.resume()
        first.isFrozen = false
        sim.run(sim.nowMs + 2_000)
        sim.concurrentRuns.shouldBeEmpty()
    }

    /**
     * Guards against ages and waits that do not count the time of a suspension, at owners and at entries. One seed is
     * run again as in [EntryConcurrentRunPropertyTest].
     */
    @Test
    fun `no task runs twice at the same time when machines are suspended`() {
        expectNoConcurrentRuns(FIRST_SEED) { EntryConcurrentRunScenario(Random(it), suspendsMachines = true) }
    }

    /** Guards against the same while two entries wait for one job, as in [TwoWaitingEntriesPropertyTest]. */
    @Test
    fun `no task runs twice at the same time when machines are suspended and two entries wait for its job`() {
        expectNoConcurrentRuns {
            EntryConcurrentRunScenario(Random(it), leavesUnnoticed = true, cutsLinks = false, suspendsMachines = true)
        }
    }

    private companion object {
        /** Seed 1,608 fails if ages are measured by the steady clock. */
        const val FIRST_SEED = 1_500L
    }
}

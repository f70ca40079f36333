package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import org.junit.jupiter.api.Test

/** What an owner that has just followed a lost one tells the other owners of the jobs that are open. */
class TakeoverListTest {
    private val sim = SimulatedBackends()
    private val told = ArrayList<OpenJobs>()

    private val peers = object : OwnerPeers {
        override fun jobsOpen(jobs: OpenJobs) {
            told += jobs
        }

        override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) = Unit

        override fun runsRemain(tasks: List<TaskKey>) = Unit

        override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) = Unit

        override fun onFenced(failureDomain: String) = Unit
    }

    /**
     * Guards against another owner that ends its wait, and starts a second submission of a job of the lost owner,
     * before the run of the first one is known.
     */
    @Test
    fun `a list is not complete before the backend servers have reported the runs of the lost owner`() {
        sim.workMs = { 5_000 }
        sim.add("b")
        sim.configure(SimulatedBackends.queue())
        sim.takeOver()
        sim.run(untilMs = 100)
        sim.submit(sim.job("j", tasks = 1, estimateMs = 300))
        sim.run(untilMs = 700)
        sim.kill(sim.owners.single())
        val next = sim.addOwner(peers = peers)
        sim.configure(next, SimulatedBackends.queue())
        next.dispatcher.acquire("d1", 2)
        next.dispatcher.updateBackends(sim.backends.values.map { it.info })
        next.dispatcher.openJobSystem.announceNow()
        told.filter { it.areAll }.shouldBeEmpty()
    }
}

package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/**
 * An instance that sends a job to another owner, or a client that sends it again, waits for a fixed time. The runs of
 * the first owner end within that time, whatever messages are lost and however late stops are executed.
 */
class RunRenewalTest {
    private val sim = SimulatedBackends()
    private val request: JobRequest

    /** Owner of failure domain "d1", where the job runs beside another one. */
    private val first get() = sim.owners.first()

    /** Owner of failure domain "d2". */
    private val second: SimulatedBackends.Owner

    init {
        sim.configure(SimulatedBackends.queue())
        sim.add("near")
        sim.takeOver()
        sim.add("far", domain = "d2")
        second = sim.addOwner()
        sim.configure(second, SimulatedBackends.queue())
        second.dispatcher.acquire("d2", 1)
        second.dispatcher.updateBackends(sim.backends.values.map { it.info })
        sim.losesOwnerMessages = true
        sim.run(untilMs = 100)
        sim.workMs = { 9_000 }
        request = sim.job("j", tasks = 1, estimateMs = 3_000)
        submit(first, request, "i1")
        submit(first, sim.job("beside", tasks = 1, estimateMs = 3_000), "i3")
        sim.run(untilMs = 1_000)
        sim.starts shouldBe 2
    }

    private fun submit(
        owner: SimulatedBackends.Owner,
        job: JobRequest,
        instance: String,
        progress: JobProgress? = null,
    ) = owner.dispatcher.submit(job, JobOrigin(instance, 1), timeoutMs = 60_000, progress = progress)

    private fun submitToSecond(progress: JobProgress?) {
        submit(second, request, "i2", progress)
        sim.run(sim.nowMs + 12_000)
        sim.startsByTask[TaskKey(request.id, 0, 0)] shouldBe 2
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against polls that extend the lease of a run whose stop is not executed, for the sake of other runs. */
    @Test
    fun `a run that was to be stopped ends before another owner starts its task`() {
        sim.lateStopByMs = { 5_000 }
        first.dispatcher.onInstanceLost("i1")
        submitToSecond(JobProgress())
    }

    /** As above, if a client sends the job again as a new one. */
    @Test
    fun `a run that was to be stopped ends before a client sends its job again`() {
        sim.lateStopByMs = { 5_000 }
        first.dispatcher.onInstanceLost("i1")
        sim.run(sim.nowMs + 1_300)
        submitToSecond(progress = null)
    }

    /** Guards against an owner that extends leases for an instance which can't reach it, and has moved its jobs. */
    @Test
    fun `a run whose submitter is no longer heard ends before another owner starts its task`() {
        sim.silentInstances += "i1"
        submitToSecond(JobProgress())
    }

    /** Guards against a new owner that extends the lease of a run whose job has been sent to another owner. */
    @Test
    fun `a run that a new owner finds ends before another owner starts its task`() {
        sim.lateStopByMs = { 5_000 }
        val backend = sim.backends.getValue("near")
        sim.replaceOwner(token = 2)
        backend.leaseUntilMs = sim.nowMs + 700
        submit(sim.owners.last(), sim.job("beside", tasks = 1, estimateMs = 3_000), "i3", JobProgress())
        submitToSecond(JobProgress())
    }

    /**
     * Guards against a start on a backend server whose lease the previous owner has granted for longer than the limit
     * of the job, as after a handover to an instance that reads its messages late.
     */
    @Test
    fun `a run that the next owner of a failure domain starts ends before another owner starts its task`() {
        val late = sim.job("late", tasks = 1, cpuMillis = 1_000, estimateMs = 3_000)
        sim.run(sim.nowMs + 300)
        submit(second, late, "i2", JobProgress())
        sim.run(sim.nowMs + 700)
        val backend = sim.backends.getValue("near")
        sim.replaceOwner(token = 2)
        backend.leaseUntilMs = sim.nowMs + 700
        val next = sim.owners.last()
        sim.run(sim.nowMs + 50)
        submit(next, request, "i1", JobProgress())
        submit(next, sim.job("beside", tasks = 1, estimateMs = 3_000), "i3", JobProgress())
        sim.silentInstances += "i4"
        next.dispatcher.submit(late, JobOrigin("i4", 1), timeoutMs = 60_000, renewedMsAgo = 748)
        sim.run(sim.nowMs + 3_000)
        sim.concurrentRuns.shouldBeEmpty()
    }

    private fun expectOneRunBeside() {
        sim.run(sim.nowMs + 4_000)
        sim.startsByTask[TaskKey(JobId("beside"), 0, 0)] shouldBe 1
        sim.backends.getValue("near").running.keys shouldBe setOf(TaskKey(JobId("beside"), 0, 0))
    }

    /** Guards against ending the runs of other jobs together with one that its submitter has left. */
    @Test
    fun `a run beside one that is no longer renewed goes on`() {
        sim.silentInstances += "i1"
        repeat(20) {
            sim.run(sim.nowMs + 50)
            first.dispatcher.withdrawUnrenewed()
        }
        expectOneRunBeside()
    }

    /** As above, if the first stop is lost. */
    @Test
    fun `a run beside one whose stop is repeated goes on`() {
        var stops = 0
        sim.lateStopByMs = { if (++stops == 1) 60_000 else null }
        sim.silentInstances += "i1"
        sim.run(sim.nowMs + 500)
        first.dispatcher.onInstanceLost("i1")
        expectOneRunBeside()
    }

    /** Guards against a report of a lost instance's jobs that is outdated when another instance waits for them, too. */
    @Test
    fun `a job that goes on for another instance is reported as one of which any task may run`() {
        submit(first, request, "i2")
        first.dispatcher.onInstanceLost("i1").single().third.ordered shouldBe null
    }
}

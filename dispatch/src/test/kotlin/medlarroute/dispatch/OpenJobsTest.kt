package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** Owners tell each other which jobs are open, so that no job that its caller sends again runs at two of them. */
class OpenJobsTest {
    private val sim = SimulatedBackends()
    private val first = sim.owners.first()
    private val second = sim.addOwner()
    private val request = sim.job("j", tasks = 1, estimateMs = 300)
    private val task = TaskKey(request.id, 0, 0)

    init {
        sim.sharesOpenJobs = true
        sim.workMs = { 5_000 }
        sim.add("near", domain = "d1")
        sim.add("far", domain = "d2")
        listOf("d1" to first, "d2" to second).forEach { (domain, owner) ->
            sim.configure(owner, SimulatedBackends.queue())
            owner.dispatcher.acquire(domain, 1)
            owner.dispatcher.updateBackends(sim.backends.values.map { it.info })
        }
        sim.run(untilMs = 100)
    }

    private fun submit(
        owner: SimulatedBackends.Owner,
        instance: String,
        waitedMs: Long = 0,
        progress: JobProgress? = null,
    ) = owner.dispatcher.submit(request, JobOrigin(instance, 1), timeoutMs = 60_000, waitedMs, progress)

    /** Guards against a second owner that runs a job since it has not been told that the job is open. */
    @Test
    fun `a job is known at the other owners before its caller may send it again`() {
        submit(first, "i1")
        sim.run(sim.nowMs + 1_000)
        second.dispatcher.openJobSystem.otherOwnerOrNull(request.id) shouldBe "o0"
        first.dispatcher.openJobSystem.otherOwnerOrNull(request.id) shouldBe null
    }

    /** Guards against the same where the job can't be sent on to the first owner. */
    @Test
    fun `a job that is open at another owner does not start`() {
        submit(first, "i1")
        sim.run(sim.nowMs + 1_300)
        submit(second, "i2")
        sim.run(sim.nowMs + 3_000)
        sim.startsByTask[task] shouldBe 1
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against a job that nobody runs after the owner at which it was open has ended it. */
    @Test
    fun `a job starts when it is no longer open at another owner`() {
        submit(first, "i1")
        sim.run(sim.nowMs + 1_300)
        first.dispatcher.cancel(request.id, JobOrigin("i1", 1), "caller left")
        submit(second, "i2")
        sim.run(sim.nowMs + 1_500)
        sim.startsByTask[task] shouldBe 2
        sim.concurrentRuns.shouldBeEmpty()
    }

    /** Guards against two owners that have the same job and start it at the same time when capacity is free. */
    @Test
    fun `a job that waits at two owners stays at the one that announced it first`() {
        submit(second, "i2", waitedMs = 200, progress = JobProgress())
        submit(first, "i1", waitedMs = 2_000, progress = JobProgress())
        sim.run(sim.nowMs + 100)
        sim.moved shouldContainExactly listOf(request.id to "o0")
    }

    /** Guards against an old request that was read late, of which another owner runs the second submission. */
    @Test
    fun `a job that may have waited unread does not start beside one that is open elsewhere`() {
        submit(second, "i2")
        sim.run(sim.nowMs + 100)
        val origin = JobOrigin("i1", 1)
        first.dispatcher.submit(request, origin, timeoutMs = 60_000, waitedMs = 10, unreadMs = 1_500)
        sim.run(sim.nowMs + 300)
        sim.startsByTask[task] shouldBe 1
        sim.moved shouldContainExactly listOf(request.id to "o1")
    }

    /** Guards against an owner that has just taken over and knows of no open job. */
    @Test
    fun `a new owner starts no job before the other owners have told it of theirs`() {
        second.dispatcher.openJobSystem.awaitOwners(mapOf("o0" to 0L), wasReleased = true)
        submit(second, "i2")
        sim.run(sim.nowMs + 300)
        sim.starts shouldBe 0
        second.dispatcher.openJobSystem.onAnnounced(
            "o0",
            OpenJobs(emptyList(), emptyList(), areAll = true),
            hasPrecedence = true,
        )
        sim.run(sim.nowMs + 50)
        sim.starts shouldBe 1
    }

    /** Guards against an owner that was paused, keeps its failure domain, and has not heard of the jobs meanwhile. */
    @Test
    fun `an owner that was paused starts no job before the other owners have told it of theirs`() {
        val openJobs = second.dispatcher.openJobSystem
        fun tick() {
            val wasPaused = openJobs.onTick(second.dispatcher.nowMs())
            if (wasPaused) openJobs.awaitOwners(mapOf("o0" to 0L), wasReleased = true)
        }
        tick()
        sim.run(sim.nowMs + 2_000)
        submit(second, "i2")
        sim.run(sim.nowMs + 50)
        sim.starts shouldBe 0
        repeat(5) {
            tick()
            sim.run(sim.nowMs + 50)
        }
        sim.starts shouldBe 0
        openJobs.onAnnounced("o0", OpenJobs(emptyList(), emptyList(), areAll = true), hasPrecedence = true)
        sim.run(sim.nowMs + 50)
        sim.starts shouldBe 1
    }

    /** Guards against a new owner that waits for ever for one that has died. */
    @Test
    fun `a new owner does not wait for another one beyond the end of its runs`() {
        second.dispatcher.openJobSystem.awaitOwners(mapOf("o0" to 800L), wasReleased = true)
        submit(second, "i2")
        sim.run(sim.nowMs + 250)
        sim.starts shouldBe 0
        sim.run(sim.nowMs + 100)
        sim.starts shouldBe 1
    }
}

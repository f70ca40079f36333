package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.dispatch.routing.ReportedLoad
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Requests of callers when owners refuse jobs, hand over or become unreachable. */
class EntryServiceTest {
    private val clock = TestTimeSource()
    private val sent = ArrayList<Pair<String, PeerMessage.Submit>>()
    private val cancelled = ArrayList<Pair<String, Long>>()
    private val results = ArrayList<JobResult>()
    private val owners = linkedSetOf("a")
    private val alive = hashSetOf("a", "b")
    private var lessLoaded: String? = null
    private var incarnation: Long? = 1
    private val ownerClient = object : OwnerClient {
        override fun ownerOrNull() = owners.firstOrNull()

        override fun isOwner(instance: String) = instance in owners

        override fun isAlive(instance: String) = instance in alive

        override fun incarnationOrNull(instance: String) = incarnation

        override fun nextOrNull(refusedBy: Set<String>) = lessLoaded?.let { ReportedLoad(it, 0) }

        override fun submit(owner: String, message: PeerMessage.Submit) {
            sent += owner to message
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            cancelled += owner to message.number
        }
    }
    private val entry = EntryService(clock, ownerClient) { _, _, _ -> }
    private val job = JobRequest(JobId("j"), QueueId("q"), "p", listOf(StepRequest(1, Resources(1))))
    private val overload = JobResult.NotRun(NotRunCode.OVERLOAD, "full", 1_000)

    private fun submit() = entry.submit(job, "r", timeoutMs = 2_000) { results += it }

    private fun advance(ms: Long) {
        clock += ms.milliseconds
        entry.tick()
    }

    /** A load peak in one failure domain while another has free capacity: its owner accepts the job as a new one. */
    @Test
    fun `a job that its owner refuses is sent once to an owner with capacity`() {
        lessLoaded = "b"
        submit()
        entry.onResult(sent.last().second.number, sent.last().second.job.id, overload)
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress.shouldBeNull()
        entry.onResult(sent.last().second.number, sent.last().second.job.id, overload)
        results shouldContainExactly listOf(overload)
    }

    /** Guards against a second run of a job that its caller has sent again, and the loss of the result of the first. */
    @Test
    fun `a job that is open at another owner is submitted there as one that may have run`() {
        owners += "b"
        submit()
        entry.onMoved(sent.last().second.number, job.id, JobProgress(ordered = emptyList()), openAt = "b")
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress shouldBe JobProgress(ordered = emptyList())
    }

    /** Guards against a start beside the runs for the instance that had submitted the job before this one. */
    @Test
    fun `a job that was open at another owner may have run wherever that one sends it`() {
        owners += "b"
        submit()
        repeat(2) {
            val openAt = if (it == 0) "b" else null
            entry.onMoved(sent.last().second.number, job.id, JobProgress(ordered = emptyList()), openAt)
        }
        sent.last().second.progress shouldBe JobProgress()
    }

    /**
     * Guards against runs at two owners for one caller: it has left and comes again, and this instance has not learned
     * that the first connection is gone.
     */
    @Test
    fun `a second request for an open job is submitted to the owner of the first as one that may have run`() {
        owners += "b"
        submit()
        owners -= "a"
        owners += "a"
        submit()
        sent.map { it.first } shouldContainExactly listOf("a", "a")
        sent.last().second.progress shouldBe JobProgress()
    }

    /** Guards against a request that waits for an owner which has died. */
    @Test
    fun `a second request for an open job whose owner is unreachable is submitted to a reachable one`() {
        owners += "b"
        submit()
        alive -= "a"
        owners -= "a"
        submit()
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress shouldBe JobProgress()
    }

    /** Guards against a job that is submitted to an owner which has died. */
    @Test
    fun `a job that is open at an unreachable owner is submitted to a reachable one`() {
        owners += "b"
        alive -= "b"
        submit()
        entry.onMoved(sent.last().second.number, job.id, JobProgress(), openAt = "b")
        sent.map { it.first } shouldContainExactly listOf("a", "a")
    }

    /** Guards against the same if the request arrives after the suspension, since the network has sent it again. */
    @Test
    fun `a request that arrives soon after a suspension may have been sent during it`() {
        repeat(4) { advance(ms = 50) }
        clock += 2_000.milliseconds
        entry.onSuspended(forMs = 2_000)
        repeat(4) { advance(ms = 50) }
        submit()
        sent.last().second.unreadMs shouldBe 2_200
        repeat(40) { advance(ms = 50) }
        submit()
        sent.last().second.unreadMs shouldBe 0
    }

    /**
     * Guards against a reply of an owner that was paused to an earlier process of this instance. It says that no task
     * was started of a job that runs at another owner by now.
     */
    @Test
    fun `a restarted instance ignores replies to its earlier process`() {
        submit()
        val earlier = sent.last().second.number
        val restarted = EntryService(clock, ownerClient) { _, _, _ -> }
        restarted.submit(job, "r", timeoutMs = 2_000) { results += it }
        owners.clear()
        owners += "b"
        restarted.onMoved(earlier, job.id, JobProgress(ordered = emptyList()))
        sent.map { it.first } shouldContainExactly listOf("a", "a")
    }

    /** Guards against an old request that is taken for a new one, since the process was paused when it arrived. */
    @Test
    fun `a request that is read after a pause may have waited during it`() {
        repeat(4) { advance(ms = 50) }
        submit()
        sent.last().second.unreadMs shouldBe 0
        clock += 2_000.milliseconds
        submit()
        sent.last().second.unreadMs shouldBe 2_050
        entry.tick()
        submit()
        sent.last().second.unreadMs shouldBe 2_000
        repeat(10) { advance(ms = 50) }
        submit()
        sent.last().second.unreadMs shouldBe 0
    }

    /** Guards against the same with a connection that was accepted only some ticks after the pause. */
    @Test
    fun `a request that is read some ticks after a pause may have waited during it`() {
        repeat(4) { advance(ms = 50) }
        clock += 2_000.milliseconds
        repeat(4) { advance(ms = 50) }
        submit()
        sent.last().second.unreadMs shouldBe 2_200
    }

    /** Guards against a restarted owner that starts tasks beside the runs of its previous process. */
    @Test
    fun `a job that is submitted again to a restarted owner may have run`() {
        submit()
        incarnation = 2
        entry.onReconnected("a")
        sent.last().second.progress shouldBe JobProgress()
    }

    /** Guards against delaying a job that the owner never received, which starts only after a lease if it may run. */
    @Test
    fun `a job that is submitted again to the same process counts as new there`() {
        submit()
        entry.onReconnected("a")
        sent.size shouldBe 2
        sent.last().second.progress.shouldBeNull()
    }

    /**
     * Guards against a stale refusal. In a large deployment, an owner replayed its recorded refusal for a job that
     * another owner had started meanwhile.
     */
    @Test
    fun `a job that returns to the owner that refused it gets a new number`() {
        lessLoaded = "b"
        val handle = submit()
        entry.onResult(sent.last().second.number, sent.last().second.job.id, overload)
        alive -= "b"
        advance(50)
        sent.map { it.first } shouldContainExactly listOf("a", "b", "a")
        (sent[2].second.number == sent[0].second.number) shouldBe false
        entry.onResult(sent[0].second.number, sent[0].second.job.id, overload)
        results.size shouldBe 0
        entry.cancel(handle)
    }

    /**
     * Guards against a job that two owners run. At the end of a partition, an instance could not reach the owner, which
     * still received the instance's heartbeats and started the job 1.1 s after another owner had accepted it.
     */
    @Test
    fun `a job that is rerouted is cancelled at its previous owner`() {
        submit()
        alive -= "a"
        owners.clear()
        owners += "b"
        advance(50)
        cancelled shouldContainExactly listOf("a" to sent[0].second.number)
    }

    /** Guards against reporting "not run" for a job that an unreachable owner may have started. */
    @Test
    fun `a refusal by the next owner of a rerouted job is reported as abandoned`() {
        submit()
        alive -= "a"
        owners.clear()
        owners += "b"
        advance(50)
        entry.onResult(sent.last().second.number, sent.last().second.job.id, overload)
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
    }

    @Test
    fun `without an owner a job is refused immediately as not run`() {
        owners.clear()
        submit()
        results.single().shouldBeInstanceOf<JobResult.NotRun>().code shouldBe NotRunCode.NO_OWNER
    }

    /** Guards against a handover without the progress, after which the next owner has to wait for a lease. */
    @Test
    fun `a job whose owner hands over is resubmitted with its progress`() {
        submit()
        owners.clear()
        owners += "b"
        advance(100)
        val progress = JobProgress(done = listOf(TaskKey(JobId("j"), 0, 0)), ordered = emptyList())
        entry.onMoved(sent.last().second.number, sent.last().second.job.id, progress)
        sent.last() shouldBe ("b" to sent.last().second)
        sent.last().second.progress shouldBe progress
    }

    /**
     * Guards against two runs of a task. An owner handed the first of two messages with a job back, accepted the
     * second, and its reply to the first arrived last.
     */
    @Test
    fun `a job that was sent twice to an owner which hands it back may have runs of any task there`() {
        submit()
        entry.onReconnected("a")
        val (number, job) = sent.last().second.let { it.number to it.job.id }
        owners.clear()
        owners += "b"
        entry.onMoved(number, job, JobProgress(ordered = emptyList()))
        sent.last().first shouldBe "b"
        sent.last().second.progress shouldBe JobProgress()
        cancelled shouldContainExactly listOf("a" to number)
    }

    @Test
    fun `a job whose owner is lost is resubmitted with unknown progress`() {
        submit()
        alive -= "a"
        owners.clear()
        advance(50)
        owners += "b"
        advance(50)
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress shouldBe JobProgress()
    }

    @Test
    fun `a request gets exactly one result at its caller's deadline`() {
        submit()
        advance(2_000)
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
        entry.onResult(sent.last().second.number, sent.last().second.job.id, JobResult.Complete)
        results.size shouldBe 1
    }

    /**
     * Guards against a result for the wrong job. A restarted instance numbers its requests from the beginning, and
     * received the result of a job of its previous incarnation.
     */
    @Test
    fun `a result for another job with the same number is ignored`() {
        submit()
        entry.onResult(sent.last().second.number, JobId("former"), JobResult.Complete)
        entry.onMoved(sent.last().second.number, JobId("former"), JobProgress())
        results.size shouldBe 0
        sent.size shouldBe 1
        entry.onResult(sent.last().second.number, sent.last().second.job.id, JobResult.Complete)
        results shouldContainExactly listOf(JobResult.Complete)
    }

    /** Guards against a graceful stop that breaks the connections of callers which wait longer than it may take. */
    @Test
    fun `an instance that ends answers its open requests and withdraws their jobs`() {
        submit()
        entry.abandonAll()
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
        entry.openRequests shouldBe 0
        cancelled shouldContainExactly listOf("a" to sent.single().second.number)
    }
}

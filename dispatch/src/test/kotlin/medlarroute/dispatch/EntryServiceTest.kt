package medlarroute.dispatch

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Requests of callers when owners refuse, hand over or vanish. */
class EntryServiceTest {
    private val clock = TestTimeSource()
    private val sent = ArrayList<Pair<String, PeerMessage.Submit>>()
    private val cancelled = ArrayList<Pair<String, Long>>()
    private val results = ArrayList<JobResult>()
    private val owners = linkedSetOf("a")
    private val alive = hashSetOf("a", "b")
    private var lessLoaded: String? = null
    private val link = object : OwnerLink {
        override fun ownerOrNull() = owners.firstOrNull()

        override fun isOwner(instance: String) = instance in owners

        override fun isAlive(instance: String) = instance in alive

        override fun lessLoadedOrNull(owner: String) = lessLoaded

        override fun submit(owner: String, message: PeerMessage.Submit) {
            sent += owner to message
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            cancelled += owner to message.number
        }
    }
    private val entry = EntryService(clock, link) { _, _, _ -> }
    private val job = JobRequest(JobId("j"), QueueId("q"), "p", listOf(StepRequest(1, Resources(1))))
    private val overload = JobResult.NotRun(NotRunCode.OVERLOAD, "full", 1_000)

    private fun submit() = entry.submit(job, "r", timeoutMs = 2_000) { results += it }

    private fun pass(ms: Long) {
        clock += ms.milliseconds
        entry.tick()
    }

    /** Crest in one failure domain while another has room: its owner takes the job as a new one. */
    @Test
    fun `a job that its owner refuses goes to one with room, once`() {
        lessLoaded = "b"
        submit()
        entry.ended(sent.last().second.number, sent.last().second.job.id, overload)
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress.shouldBeNull()
        entry.ended(sent.last().second.number, sent.last().second.job.id, overload)
        results shouldContainExactly listOf(overload)
    }

    /** Seen in a grown deployment: the owner replayed its refusal although another had started the job meanwhile. */
    @Test
    fun `a job that comes back to the owner that refused it has a new number there`() {
        lessLoaded = "b"
        val handle = submit()
        entry.ended(sent.last().second.number, sent.last().second.job.id, overload)
        alive -= "b"
        pass(50)
        sent.map { it.first } shouldContainExactly listOf("a", "b", "a")
        (sent[2].second.number == sent[0].second.number) shouldBe false
        entry.ended(sent[0].second.number, sent[0].second.job.id, overload)
        results.size shouldBe 0
        entry.cancel(handle)
    }

    /**
     * Seen at the heal of a partition: an entry lost sight of the owner, which still saw the entry and started the job
     * 1.1 s after another owner had taken it, and both ran it.
     */
    @Test
    fun `an owner that a job is taken from is told`() {
        submit()
        alive -= "a"
        owners.clear()
        owners += "b"
        pass(50)
        cancelled shouldContainExactly listOf("a" to sent[0].second.number)
    }

    /** Fails if a caller is told that a job never ran that an owner out of sight may have started. */
    @Test
    fun `a refusal after a first owner was lost is not passed on as not run`() {
        submit()
        alive -= "a"
        owners.clear()
        owners += "b"
        pass(50)
        entry.ended(sent.last().second.number, sent.last().second.job.id, overload)
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
    }

    @Test
    fun `without an owner a job is refused at once as not run`() {
        owners.clear()
        submit()
        results.single().shouldBeInstanceOf<JobResult.NotRun>().code shouldBe NotRunCode.NO_OWNER
    }

    /** Fails if the next owner is not told what the last one has ordered, and so has to wait for a lease. */
    @Test
    fun `a job whose owner hands over goes on with its progress`() {
        submit()
        owners.clear()
        owners += "b"
        pass(100)
        val progress = JobProgress(done = listOf(TaskKey(JobId("j"), 0, 0)), ordered = emptyList())
        entry.moved(sent.last().second.number, sent.last().second.job.id, progress)
        sent.last() shouldBe ("b" to sent.last().second)
        sent.last().second.progress shouldBe progress
    }

    @Test
    fun `a job whose owner vanished goes to the next with unknown progress`() {
        submit()
        alive -= "a"
        owners.clear()
        pass(50)
        owners += "b"
        pass(50)
        sent.map { it.first } shouldContainExactly listOf("a", "b")
        sent.last().second.progress shouldBe JobProgress()
    }

    @Test
    fun `a request gets its one answer at its caller's deadline`() {
        submit()
        pass(2_000)
        results.single().shouldBeInstanceOf<JobResult.Abandoned>()
        entry.ended(sent.last().second.number, sent.last().second.job.id, JobResult.Complete)
        results.size shouldBe 1
    }

    /** Seen in a hunt: an instance that had started again took the result of its former life's job for another job. */
    @Test
    fun `a result for another job with the same number is ignored`() {
        submit()
        entry.ended(sent.last().second.number, JobId("former"), JobResult.Complete)
        entry.moved(sent.last().second.number, JobId("former"), JobProgress())
        results.size shouldBe 0
        sent.size shouldBe 1
        entry.ended(sent.last().second.number, sent.last().second.job.id, JobResult.Complete)
        results shouldContainExactly listOf(JobResult.Complete)
    }
}

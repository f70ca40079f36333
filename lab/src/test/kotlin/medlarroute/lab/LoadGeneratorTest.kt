package medlarroute.lab

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

class LoadGeneratorTest {
    @TempDir
    lateinit var directory: Path

    private val resources = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll(): Unit = resources.asReversed().forEach { it.close() }

    private fun entry(name: String, answer: (String, JobRequest) -> HttpResponse?): FakeEntry =
        FakeEntry(name, answer).also { resources.add(it) }

    private fun record(): Path = directory.resolve("answers.log")

    private fun settings(vararg entries: FakeEntry) = LoadSettings(
        entries.map { it.address },
        jobs = 40,
        jobsPerSecond = 400.0,
        maxTasks = 5,
        deadlineMs = 1_000,
        attempts = 3,
        cancelShare = 0.0,
        resubmitShare = 0.0,
    )

    private fun run(settings: LoadSettings): LoadReport = LoadGenerator(settings, record()).use { it.run() }

    @Test
    fun `correct answers count as complete and are recorded`() {
        val report = run(settings(entry("a", FakeEntry::correctAnswer)))
        report.outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        report.latencies.totalCount shouldBe 40
        val records = LoadRecord.read(record())
        records.filterIsInstance<LoadRecord.Submitted>() shouldHaveSize 40
        records.filterIsInstance<LoadRecord.Answered>() shouldHaveSize 40
    }

    // Guards against a load generator that relies on the status alone: each of these answers has the status "complete".
    @Test
    fun `answers that are partial, have wrong outputs or belong to another submission count as wrong`() {
        val partial = entry("a") { id, job -> FakeEntry.complete(id, job.tasks.drop(1).map { it.payload }) }
        run(settings(partial)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
        val wrong = entry("b") { id, job -> FakeEntry.complete(id, job.tasks.map { "x" }) }
        run(settings(wrong)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
        val other = entry("c") { _, job -> FakeEntry.correctAnswer("n.c.1.9/9", job) }
        run(settings(other)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
    }

    @Test
    fun `failures and refusals are distinguished and counted by code`() {
        val refusing = entry("a") { id, _ ->
            val body = """{"status":"refused","submission":"$id","notRun":true,"findings":[{"code":"OVERLOAD"}]}"""
            HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE, MediaType.JSON, body)
        }
        val refused = run(settings(refusing))
        refused.outcomes shouldBe mapOf(LoadOutcome.REFUSED to 40)
        refused.codes shouldBe mapOf("OVERLOAD" to 40)
        val failing = entry("b") { id, _ ->
            val body = """{"status":"failed","submission":"$id","code":"HOME_LOST","mayHaveRun":true,"detail":""}"""
            HttpResponse.of(HttpStatus.GONE, MediaType.JSON, body)
        }
        run(settings(failing)).codes shouldBe mapOf("HOME_LOST" to 40)
        failing.requestCounts.keys.map { it.substringBeforeLast('/') }.toSet().size shouldBeGreaterThan 30
    }

    // Guards against a retry with a new id, which would run the job twice.
    @Test
    fun `a request without an answer is retried at another instance with the same id`() {
        val broken = entry("a") { _, _ -> null }
        val working = entry("b", FakeEntry::correctAnswer)
        run(settings(broken, working)).outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        broken.requestCounts.size shouldBeGreaterThan 0
        working.requestCounts.keys shouldBe LoadRecord.read(record()).map { it.submission }.toSet()
    }

    @Test
    fun `a request that no instance answers counts as missing`() {
        run(settings(entry("a") { _, _ -> null })).outcomes shouldBe mapOf(LoadOutcome.MISSING to 40)
        LoadRecord.read(record()).filterIsInstance<LoadRecord.Missing>() shouldHaveSize 40
    }

    @Test
    fun `jobs within the resubmission share are sent twice`() {
        val slow = entry("a") { id, job ->
            Thread.sleep(1)
            FakeEntry.correctAnswer(id, job)
        }
        run(settings(slow).copy(resubmitShare = 1.0)).outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        slow.requestCounts.values.map { it.get() }.toSet() shouldBe setOf(2)
    }

    @Test
    fun `complete submissions are sent again at the end`() {
        val report = run(settings(entry("a", FakeEntry::correctAnswer)).copy(replays = 7))
        report.replays shouldBe mapOf(LoadOutcome.COMPLETE to 7)
        LoadRecord.read(record()).filterIsInstance<LoadRecord.Answered>().count { it.isReplay } shouldBe 7
    }

    // Guards against a latency that leaves out the wait for the answer. All requests are sent on time here, so the test
    // does not detect coordinated omission, where the delay of a request that is sent late is left out.
    @Test
    fun `the latency includes the wait for the answer`() {
        val late = entry("a") { id, job ->
            HttpResponse.delayed(FakeEntry.correctAnswer(id, job), java.time.Duration.ofMillis(100))
        }
        run(settings(late).copy(jobs = 20, jobsPerSecond = 10_000.0)).latencies.minValue shouldBeGreaterThan 99_000L
    }

    @Test
    fun `the same seed plans the same jobs`() {
        val settings = LoadSettings(listOf("x:1"), jobs = 50, cancelShare = 0.5)
        fun plan(seed: Long) = planLoad(settings.copy(seed = seed)).map { it.arrivalMs to it.payloads }.toList()
        plan(3) shouldBe plan(3)
        plan(3) shouldNotBe plan(4)
        planLoad(settings).count { it.cancelAfterMs != null } shouldBeGreaterThan 10
    }
}

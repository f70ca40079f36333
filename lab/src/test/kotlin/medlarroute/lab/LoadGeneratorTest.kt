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

    private val open = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll(): Unit = open.asReversed().forEach { it.close() }

    private fun entry(name: String, answer: (String, JobRequest) -> HttpResponse?): FakeEntry =
        FakeEntry(name, answer).also { open.add(it) }

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
    fun `right answers count as complete and are recorded with their payloads`() {
        val report = run(settings(entry("a", FakeEntry::rightAnswer)))
        report.outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        report.latencies.totalCount shouldBe 40
        val records = LoadRecord.read(record())
        records.filterIsInstance<LoadRecord.Submitted>() shouldHaveSize 40
        records.filterIsInstance<LoadRecord.Answered>() shouldHaveSize 40
    }

    // Guards against a tool that trusts the status line: each of these answers says "complete".
    @Test
    fun `partial, swapped and foreign answers count as wrong`() {
        val partial = entry("a") { id, job -> FakeEntry.complete(id, job.tasks.drop(1).map { it.payload }) }
        run(settings(partial)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
        val wrong = entry("b") { id, job -> FakeEntry.complete(id, job.tasks.map { "x" }) }
        run(settings(wrong)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
        val foreign = entry("c") { _, job -> FakeEntry.rightAnswer("n.c.1.9/9", job) }
        run(settings(foreign)).outcomes shouldBe mapOf(LoadOutcome.WRONG to 40)
    }

    @Test
    fun `failures and refusals are told apart and counted by code`() {
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
        failing.seen.keys.map { it.substringBeforeLast('/') }.toSet().size shouldBeGreaterThan 30
    }

    // Guards against new ids on a retry, which would make the job run twice.
    @Test
    fun `a request without an answer goes to the other instance under the same id`() {
        val broken = entry("a") { _, _ -> null }
        val working = entry("b", FakeEntry::rightAnswer)
        run(settings(broken, working)).outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        broken.seen.size shouldBeGreaterThan 0
        working.seen.keys shouldBe LoadRecord.read(record()).map { it.submission }.toSet()
    }

    @Test
    fun `a request that nobody answers is missing`() {
        run(settings(entry("a") { _, _ -> null })).outcomes shouldBe mapOf(LoadOutcome.MISSING to 40)
        LoadRecord.read(record()).filterIsInstance<LoadRecord.Missing>() shouldHaveSize 40
    }

    @Test
    fun `the resubmission and cancellation shares are sent`() {
        val slow = entry("a") { id, job ->
            Thread.sleep(1)
            FakeEntry.rightAnswer(id, job)
        }
        run(settings(slow).copy(resubmitShare = 1.0)).outcomes shouldBe mapOf(LoadOutcome.COMPLETE to 40)
        slow.seen.values.map { it.get() }.toSet() shouldBe setOf(2)
    }

    @Test
    fun `complete submissions are sent once more at the end`() {
        val report = run(settings(entry("a", FakeEntry::rightAnswer)).copy(replays = 7))
        report.replays shouldBe mapOf(LoadOutcome.COMPLETE to 7)
        LoadRecord.read(record()).filterIsInstance<LoadRecord.Answered>().count { it.isReplay } shouldBe 7
    }

    // Guards against coordinated omission: the wait for a late send must count.
    @Test
    fun `the latency counts from the planned arrival`() {
        val late = entry("a") { id, job ->
            HttpResponse.delayed(FakeEntry.rightAnswer(id, job), java.time.Duration.ofMillis(100))
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

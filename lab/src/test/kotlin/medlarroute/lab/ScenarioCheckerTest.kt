package medlarroute.lab

import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * Most tests introduce one violation into the logs of a correct run and expect exactly the checks for it to fail. The
 * others contain no violation and expect that no check fails.
 */
class ScenarioCheckerTest {
    @TempDir
    lateinit var directory: Path

    private val first = LoadRecord.Submitted("n.e1.1.1/1", 10, "c", idempotent = false, listOf("n=1", "n=2"))
    private val second = LoadRecord.Submitted("n.e1.1.1/2", 10, "c", idempotent = true, listOf("n=3"))

    private fun outputs(sent: LoadRecord.Submitted) =
        sent.payloads.mapIndexed { index, payload -> TaskResult(index, StandinTaskSpec.outputOf(payload)) }

    private fun complete(sent: LoadRecord.Submitted, results: List<TaskResult> = outputs(sent)) =
        LoadRecord.Answered(sent.submission, 50, "e1", 200, AnswerStatus.COMPLETE, sent.submission, results = results)

    private fun refused(sent: LoadRecord.Submitted, code: String = "OVERLOAD") =
        LoadRecord.Answered(sent.submission, 50, "e1", 503, AnswerStatus.REFUSED, sent.submission, code)

    private fun start(task: String, backend: String = "b1", timeMs: Long = 20) =
        StartLogEntry(StartLogEvent.START, timeMs, backend, task)

    private fun starts(sent: LoadRecord.Submitted) = sent.payloads.indices.map { start("${sent.submission}/$it") }

    private val goodStarts = starts(first) + starts(second)
    private val goodRecords = listOf(first, second, complete(first), complete(second))

    private fun failedChecks(starts: List<StartLogEntry> = goodStarts, records: List<LoadRecord> = goodRecords) =
        ScenarioChecker(starts, records).check().results.filter { !it.isPassed }.map { it.name }

    @Test
    fun `a correct run passes all checks`() {
        val report = ScenarioChecker(goodStarts, goodRecords).check()
        report.failed shouldBe 0
        report.toString() shouldEndWith "\n${report.results.size} passed, 0 failed"
    }

    @Test
    fun `a run without load fails`() {
        failedChecks(emptyList(), emptyList()) shouldContainExactly listOf("the run has load")
    }

    @Test
    fun `a second start of a task on another backend server is reported`() {
        failedChecks(starts = goodStarts + start("${second.submission}/0", "b2")) shouldContainExactly
            listOf("tasks started twice")
    }

    @Test
    fun `a second start of a non-idempotent task is reported`() {
        failedChecks(starts = goodStarts + start("${first.submission}/1")) shouldContainExactly
            listOf("tasks started twice", "non-idempotent tasks run twice")
    }

    @Test
    fun `a wrong output is reported`() {
        val wrong = complete(second, listOf(TaskResult(0, "x")))
        failedChecks(records = listOf(first, second, complete(first), wrong)) shouldContainExactly
            listOf("wrong answers")
    }

    @Test
    fun `outputs in the wrong order are reported`() {
        val swapped = complete(first, outputs(first).map { it.copy(index = 1 - it.index) }.sortedBy { it.index })
        failedChecks(records = listOf(first, second, swapped, complete(second))) shouldContainExactly
            listOf("wrong answers")
    }

    @Test
    fun `a partial answer is reported`() {
        val partial = complete(first, outputs(first).take(1))
        failedChecks(records = listOf(first, second, partial, complete(second))) shouldContainExactly
            listOf("partial answers")
    }

    @Test
    fun `an output of another submission is reported`() {
        val other = complete(second, listOf(outputs(first)[0]))
        failedChecks(records = listOf(first, second, complete(first), other)) shouldContainExactly
            listOf("answers to another request")
    }

    @Test
    fun `an answer that names another submission is reported`() {
        val other = complete(second).copy(answeredSubmission = first.submission)
        failedChecks(records = listOf(first, second, complete(first), other)) shouldContainExactly
            listOf("answers to another request")
    }

    @Test
    fun `a submission without an answer is reported`() {
        val records = listOf(first, second, complete(first), LoadRecord.Missing(second.submission, 60, "timeout"))
        failedChecks(records = records) shouldContainExactly listOf("missing answers")
    }

    @Test
    fun `a complete answer whose task never started is reported`() {
        failedChecks(starts = starts(first)) shouldContainExactly
            listOf("complete answers without a start of each task")
    }

    @Test
    fun `a refusal of a submission of which a task started is reported`() {
        failedChecks(records = listOf(first, second, complete(first), refused(second))) shouldContainExactly
            listOf("false \"not run\"")
    }

    @Test
    fun `a refusal of a submission that did not start is accepted`() {
        failedChecks(starts(first), listOf(first, second, complete(first), refused(second))) shouldBe emptyList()
    }

    // A request with a different body under a used id is refused, although the first request with the id has run.
    @Test
    fun `a refusal for a different digest is accepted`() {
        failedChecks(records = goodRecords + refused(second, "DIGEST_MISMATCH")) shouldBe emptyList()
    }

    @Test
    fun `a complete answer and a refusal of the same submission are reported as a contradiction`() {
        failedChecks(records = goodRecords + refused(second)) shouldContainExactly
            listOf("false \"not run\"", "answers that contradict each other")
    }

    @Test
    fun `a start on a leaving backend server is reported after the bound`() {
        val leaving = StartLogEntry(StartLogEvent.LEAVING, 1_000, "b1")
        val serving = StartLogEntry(StartLogEvent.SERVING, 9_000, "b1")
        fun moved(timeMs: Long, backend: String = "b1") =
            starts(first) + leaving + start("${second.submission}/0", backend, timeMs) + serving
        failedChecks(starts = moved(5_900)) shouldBe emptyList()
        failedChecks(starts = moved(6_100, "b2")) shouldBe emptyList()
        failedChecks(starts = moved(9_100)) shouldBe emptyList()
        failedChecks(starts = moved(6_100)) shouldContainExactly listOf("starts on leaving backend servers")
    }

    @Test
    fun `an answer of a drained home that is not replayed is reported`() {
        fun failed(replay: LoadRecord.Answered) =
            ScenarioChecker(goodStarts, goodRecords + replay.copy(isReplay = true), drainedHome = "e1")
                .check().results.filter { !it.isPassed }.map { it.name }
        failed(complete(first)) shouldBe emptyList()
        failed(complete(first).copy(status = AnswerStatus.FAILED, code = "HOME_LOST")) shouldContainExactly
            listOf("answers of e1 not replayed")
        ScenarioChecker(goodStarts, goodRecords, drainedHome = "e1").check().failed shouldBe 1
    }

    @Test
    fun `an incomplete last line of a killed writer is skipped`() {
        val startLog = directory.resolve("starts.log")
        StartLog(startLog).use { log -> goodStarts.forEach { log.write(it) } }
        Files.writeString(startLog, """{"event":"STA""", StandardOpenOption.APPEND)
        val record = directory.resolve("answers.log")
        JsonLinesWriter(record, LoadRecord.serializer()).use { lines -> goodRecords.forEach { lines.write(it) } }
        ScenarioChecker.read(listOf(startLog), listOf(record)).check().failed shouldBe 0
    }
}

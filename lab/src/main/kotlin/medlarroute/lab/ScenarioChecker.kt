package medlarroute.lab

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One check of a scenario: what was looked at and what was found. It passes if there is no violation. */
class CheckResult(val name: String, val looked: String, val violations: List<String>) {
    val isPassed: Boolean get() = violations.isEmpty()
}

/** Result of the checker. The text form ends with `N passed, N failed` on a line of its own. */
class CheckReport(val results: List<CheckResult>) {
    val passed: Int get() = results.count { it.isPassed }
    val failed: Int get() = results.size - passed

    override fun toString(): String = buildString {
        results.forEach { result ->
            val verdict = if (result.isPassed) "ok  " else "FAIL"
            appendLine("$verdict ${result.name}: ${result.violations.size} in ${result.looked}")
            result.violations.take(SHOWN_VIOLATIONS).forEach { appendLine("       $it") }
        }
        append("$passed passed, $failed failed")
    }

    private companion object {
        const val SHOWN_VIOLATIONS = 10
    }
}

/**
 * Finds violations of the invariants of docs/design.md (section 1.3) in the start logs of all backend stand-ins and the
 * records of all load tools of a run.
 *
 * @param leavingBound time after which a leaving backend server must get no new task.
 * @param drainedHome entry instance that was stopped gracefully, whose complete answers a successor must replay.
 */
class ScenarioChecker(
    private val starts: List<StartLogEntry>,
    records: List<LoadRecord>,
    private val leavingBound: Duration = 5.seconds,
    private val drainedHome: String? = null,
) {
    private val submitted = records.filterIsInstance<LoadRecord.Submitted>().associateBy { it.submission }
    private val answers = records.filterIsInstance<LoadRecord.Answered>()
    private val answered = answers.groupBy { it.submission }
    private val taskStarts = starts.filter { it.event == StartLogEvent.START }
    private val startsByTask = taskStarts.groupBy { it.task }
    private val startsBySubmission = taskStarts.groupBy { it.task.substringBeforeLast('/') }
    private val owners = HashMap<String, String>()
    private val defects = HashMap<AnswerDefect, MutableList<String>>()

    init {
        for (sent in submitted.values) {
            sent.payloads.forEach { owners[StandinWork.outputOf(it)] = sent.submission }
        }
        answers.forEach { judge(it) }
    }

    /** Runs all checks. */
    fun check(): CheckReport {
        val ofAnswers = "${answers.size} answers"
        return CheckReport(
            listOfNotNull(
                CheckResult("the run has load", "1 run", emptyRun()),
                CheckResult("tasks started twice", "${taskStarts.size} starts", doubleStarts()),
                CheckResult("non-idempotent tasks run twice", "${nonIdempotentTasks()} tasks", nonIdempotentRepeats()),
                CheckResult("wrong answers", ofAnswers, defects[AnswerDefect.WRONG].orEmpty()),
                CheckResult("partial answers", ofAnswers, defects[AnswerDefect.PARTIAL].orEmpty()),
                CheckResult("answers to another request", ofAnswers, defects[AnswerDefect.OTHER_REQUEST].orEmpty()),
                CheckResult("missing answers", "${submitted.size} submissions", missingAnswers()),
                CheckResult("complete answers without a start of each task", ofAnswers, unbackedAnswers()),
                CheckResult("false \"not run\"", "${refusals().size} refusals", falseNotRun()),
                CheckResult("answers that contradict each other", ofAnswers, contradictions()),
                CheckResult("starts on leaving backend servers", "${leavingEvents()} departures", lateStarts()),
                drainedHome?.let {
                    CheckResult("answers of $it not replayed", "${replays(it).size} replays", lostReplays(it))
                },
            ),
        )
    }

    private fun judge(answer: LoadRecord.Answered) {
        val sent = submitted[answer.submission]
        val defect = when {
            sent == null -> AnswerDefect.OTHER_REQUEST
            else -> defectOf(sent, answer) { output -> owners[output]?.takeIf { it != sent.submission } }
        }
        defect?.let { defects.getOrPut(it) { ArrayList() }.add("${answer.submission} from ${answer.entry}") }
    }

    private fun emptyRun(): List<String> =
        listOfNotNull(
            "no submissions".takeIf { submitted.isEmpty() },
            "no task starts".takeIf { taskStarts.isEmpty() },
            "no complete answers".takeIf { completeAnswers().isEmpty() },
        )

    private fun nonIdempotentTasks(): Int = submitted.values.filter { !it.idempotent }.sumOf { it.payloads.size }

    private fun repeatedTasks() = startsByTask.filterValues { it.size > 1 }

    private fun doubleStarts(): List<String> =
        repeatedTasks().map { (task, entries) -> "$task on ${entries.joinToString { it.backend }}" }

    private fun nonIdempotentRepeats(): List<String> =
        repeatedTasks().keys.filter { submitted[it.substringBeforeLast('/')]?.idempotent == false }

    private fun completeAnswers() = answers.filter { it.status == AnswerStatus.COMPLETE }

    /** Refusals of submissions. One for a different digest concerns only its own request, not the submission. */
    private fun refusals() = answers.filter { it.status == AnswerStatus.REFUSED && it.code != DIGEST_MISMATCH }

    private fun missingAnswers(): List<String> = submitted.keys.filter { it !in answered }

    private fun unbackedAnswers(): List<String> =
        completeAnswers().map { it.submission }.distinct().mapNotNull { submission ->
            val tasks = submitted[submission]?.payloads?.indices?.map { "$submission/$it" }.orEmpty()
            tasks.firstOrNull { it !in startsByTask }?.let { "$it has no start" }
        }

    private fun falseNotRun(): List<String> =
        refusals().filter { it.submission in startsBySubmission }.map { refusal ->
            val starts = startsBySubmission.getValue(refusal.submission).size
            "${refusal.submission} refused by ${refusal.entry} with ${refusal.code}, $starts starts"
        }

    private fun contradictions(): List<String> {
        val complete = completeAnswers().mapTo(HashSet()) { it.submission }
        return refusals().map {
            it.submission
        }.distinct().filter { it in complete }.map { "$it is complete and refused" }
    }

    private fun replays(home: String) =
        answers.filter { it.isReplay && it.submission.split('.').getOrNull(INSTANCE_FIELD) == home }

    private fun lostReplays(home: String): List<String> {
        val replays = replays(home)
        if (replays.isEmpty()) return listOf("no answer of $home was asked for again")
        return replays.filter { it.status != AnswerStatus.COMPLETE }
            .map { "${it.submission} was complete, then ${it.status} with ${it.code} from ${it.entry}" }
    }

    private fun leavingEvents(): Int = starts.count { it.event == StartLogEvent.LEAVING }

    private fun lateStarts(): List<String> =
        starts.groupBy { it.backend }.values.flatMap { entries ->
            var leavingSince: Long? = null
            entries.sortedBy { it.timeMs }.mapNotNull { entry ->
                when (entry.event) {
                    StartLogEvent.LEAVING -> leavingSince = entry.timeMs
                    StartLogEvent.SERVING -> leavingSince = null
                    else -> Unit
                }
                val lateBy = leavingSince?.let { (entry.timeMs - it).milliseconds }
                val isLate = entry.event == StartLogEvent.START && lateBy != null && lateBy > leavingBound
                "${entry.task} on ${entry.backend} $lateBy after it was told".takeIf { isLate }
            }
        }

    companion object {
        private const val INSTANCE_FIELD = 1
        private const val DIGEST_MISMATCH = "DIGEST_MISMATCH"

        /** Reads the files of a run. */
        fun read(startLogs: List<Path>, loadRecords: List<Path>, drainedHome: String? = null): ScenarioChecker {
            val starts = startLogs.flatMap { StartLog.read(it) }
            val records = loadRecords.flatMap { LoadRecord.read(it) }
            return ScenarioChecker(starts, records, drainedHome = drainedHome)
        }
    }
}

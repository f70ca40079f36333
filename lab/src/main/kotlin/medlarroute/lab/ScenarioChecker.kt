package medlarroute.lab

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Result of one check of a scenario. The check passes if there are no violations.
 *
 * @property scope what was checked, as text such as `12 starts`.
 */
class CheckResult(val name: String, val scope: String, val violations: List<String>) {
    val isPassed: Boolean get() = violations.isEmpty()
}

/** Results of all checks. The last line of the text form is `N passed, N failed`. */
class CheckReport(val results: List<CheckResult>) {
    val passed: Int get() = results.count { it.isPassed }
    val failed: Int get() = results.size - passed

    override fun toString(): String = buildString {
        results.forEach { result ->
            val verdict = if (result.isPassed) "ok  " else "FAIL"
            appendLine("$verdict ${result.name}: ${result.violations.size} in ${result.scope}")
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
 * records of all load generators of a run.
 *
 * @param leavingBound time after which a leaving backend server must get no new tasks.
 * @param drainedHome entry instance that was stopped gracefully, whose complete answers must be replayed by a
 * successor; null if there is none.
 */
class ScenarioChecker(
    private val starts: List<StartLogEntry>,
    records: List<LoadRecord>,
    private val leavingBound: Duration = 5.seconds,
    private val drainedHome: String? = null,
) {
    private val submitted = records.filterIsInstance<LoadRecord.Submitted>().associateBy { it.submission }
    private val answers = records.filterIsInstance<LoadRecord.Answered>()
    private val answersBySubmission = answers.groupBy { it.submission }
    private val taskStarts = starts.filter { it.event == StartLogEvent.START }
    private val startsByTask = taskStarts.groupBy { it.task }
    private val startsBySubmission = taskStarts.groupBy { it.task.substringBeforeLast('/') }
    private val submissionByOutput = HashMap<String, String>()
    private val defects = HashMap<AnswerDefect, MutableList<String>>()

    init {
        for (sent in submitted.values) {
            sent.payloads.forEach { submissionByOutput[StandinTaskSpec.outputOf(it)] = sent.submission }
        }
        answers.forEach { recordDefect(it) }
    }

    /** Runs all checks. */
    fun check(): CheckReport {
        val allAnswers = "${answers.size} answers"
        return CheckReport(
            listOfNotNull(
                CheckResult("the run has load", "1 run", missingLoad()),
                CheckResult("tasks started twice", "${taskStarts.size} starts", repeatedStarts()),
                CheckResult(
                    "non-idempotent tasks run twice",
                    "${nonIdempotentTasks()} tasks",
                    repeatedNonIdempotentTasks(),
                ),
                CheckResult("wrong answers", allAnswers, defects[AnswerDefect.WRONG].orEmpty()),
                CheckResult("partial answers", allAnswers, defects[AnswerDefect.PARTIAL].orEmpty()),
                CheckResult("answers to another request", allAnswers, defects[AnswerDefect.OTHER_REQUEST].orEmpty()),
                CheckResult("missing answers", "${submitted.size} submissions", missingAnswers()),
                CheckResult("complete answers without a start of each task", allAnswers, answersWithoutStarts()),
                CheckResult("false \"not run\"", "${refusals().size} refusals", refusalsOfStartedSubmissions()),
                CheckResult("answers that contradict each other", allAnswers, contradictions()),
                CheckResult("starts on leaving backend servers", "${leavingEvents()} departures", startsAfterLeaving()),
                drainedHome?.let {
                    CheckResult("answers of $it not replayed", "${replays(it).size} replays", failedReplays(it))
                },
            ),
        )
    }

    private fun recordDefect(answer: LoadRecord.Answered) {
        val sent = submitted[answer.submission]
        val defect = when {
            sent == null -> AnswerDefect.OTHER_REQUEST
            else -> findDefect(sent, answer) { output -> submissionByOutput[output]?.takeIf { it != sent.submission } }
        }
        defect?.let { defects.getOrPut(it) { ArrayList() }.add("${answer.submission} from ${answer.entry}") }
    }

    private fun missingLoad(): List<String> =
        listOfNotNull(
            "no submissions".takeIf { submitted.isEmpty() },
            "no task starts".takeIf { taskStarts.isEmpty() },
            "no complete answers".takeIf { completeAnswers().isEmpty() },
        )

    private fun nonIdempotentTasks(): Int = submitted.values.filter { !it.idempotent }.sumOf { it.payloads.size }

    private fun repeatedTasks() = startsByTask.filterValues { it.size > 1 }

    private fun repeatedStarts(): List<String> =
        repeatedTasks().map { (task, entries) -> "$task on ${entries.joinToString { it.backend }}" }

    private fun repeatedNonIdempotentTasks(): List<String> =
        repeatedTasks().keys.filter { submitted[it.substringBeforeLast('/')]?.idempotent == false }

    private fun completeAnswers() = answers.filter { it.status == AnswerStatus.COMPLETE }

    /**
     * Refusals of submissions. A request with a different body under a used id is refused with DIGEST_MISMATCH, which
     * says nothing about the submission that the id belongs to.
     */
    private fun refusals() = answers.filter { it.status == AnswerStatus.REFUSED && it.code != DIGEST_MISMATCH }

    private fun missingAnswers(): List<String> = submitted.keys.filter { it !in answersBySubmission }

    private fun answersWithoutStarts(): List<String> =
        completeAnswers().map { it.submission }.distinct().mapNotNull { submission ->
            val tasks = submitted[submission]?.payloads?.indices?.map { "$submission/$it" }.orEmpty()
            tasks.firstOrNull { it !in startsByTask }?.let { "$it has no start" }
        }

    private fun refusalsOfStartedSubmissions(): List<String> =
        refusals().filter { it.submission in startsBySubmission }.map { refusal ->
            val starts = startsBySubmission.getValue(refusal.submission).size
            "${refusal.submission} refused by ${refusal.entry} with ${refusal.code}, $starts starts"
        }

    private fun contradictions(): List<String> {
        val complete = completeAnswers().mapTo(HashSet()) { it.submission }
        return refusals().map { it.submission }.distinct().filter { it in complete }
            .map { "$it is complete and refused" }
    }

    private fun replays(home: String) =
        answers.filter { it.isReplay && it.submission.split('.').getOrNull(INSTANCE_FIELD) == home }

    private fun failedReplays(home: String): List<String> {
        val replays = replays(home)
        if (replays.isEmpty()) return listOf("no answer of $home was requested again")
        return replays.filter { it.status != AnswerStatus.COMPLETE }
            .map { "${it.submission} was complete, then ${it.status} with ${it.code} from ${it.entry}" }
    }

    private fun leavingEvents(): Int = starts.count { it.event == StartLogEvent.LEAVING }

    private fun startsAfterLeaving(): List<String> =
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
                "${entry.task} on ${entry.backend} $lateBy after it began to leave".takeIf { isLate }
            }
        }

    companion object {
        private const val INSTANCE_FIELD = 1
        private const val DIGEST_MISMATCH = "DIGEST_MISMATCH"

        /** Creates a checker for the files of a run. */
        fun read(startLogs: List<Path>, loadRecords: List<Path>, drainedHome: String? = null): ScenarioChecker {
            val starts = startLogs.flatMap { StartLog.read(it) }
            val records = loadRecords.flatMap { LoadRecord.read(it) }
            return ScenarioChecker(starts, records, drainedHome = drainedHome)
        }
    }
}

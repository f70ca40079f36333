package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.SubmissionId
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.Logger

/** Thread context key of the submission that a log line refers to. */
internal const val SUBMISSION_FIELD = "submission"

/** Runs [body] with [submission] in its log lines, so that a job can be traced across processes. */
internal inline fun <T> loggedWith(submission: SubmissionId, body: () -> T): T =
    CloseableThreadContext.put(SUBMISSION_FIELD, submission.toString()).use { body() }

/** Logs [message] about [submission] at level debug. Evaluates it only if that level is on: called for each task. */
internal inline fun Logger.debugAbout(submission: SubmissionId, message: () -> String) {
    if (isDebugEnabled) loggedWith(submission) { debug(message()) }
}

/** Logs the answer to [submission]: failures at level info, everything else at level debug. */
internal fun Logger.answered(submission: SubmissionId, answer: Answer) {
    when (answer) {
        is Answer.Complete -> debugAbout(submission) { "engine: complete" }

        is Answer.Refused -> debugAbout(submission) {
            "engine: refused, ${answer.findings.joinToString { "${it.code}" }}"
        }

        is Answer.Failed -> loggedWith(submission) { info("engine: failed, {}: {}", answer.code, answer.detail) }
    }
}

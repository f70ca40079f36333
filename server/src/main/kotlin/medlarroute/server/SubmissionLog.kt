package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.SubmissionId
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.Logger

/** Name of the field of the thread context that holds the submission which a log line is about. */
internal const val SUBMISSION_FIELD = "submission"

/** Runs [body] so that its log lines carry [submission], by which a job can be followed through all processes. */
internal inline fun <T> loggedWith(submission: SubmissionId, body: () -> T): T =
    CloseableThreadContext.put(SUBMISSION_FIELD, submission.toString()).use { body() }

/** Writes [message] about [submission] at level debug; costs nothing at other levels, as it is called for each task. */
internal inline fun Logger.debugAbout(submission: SubmissionId, message: () -> String) {
    if (isDebugEnabled) loggedWith(submission) { debug(message()) }
}

/** Writes how [submission] ended: failures as information, everything else at level debug. */
internal fun Logger.answered(submission: SubmissionId, answer: Answer) {
    when (answer) {
        is Answer.Complete -> debugAbout(submission) { "engine: complete" }

        is Answer.Refused -> debugAbout(submission) {
            "engine: refused, ${answer.findings.joinToString { "${it.code}" }}"
        }

        is Answer.Failed -> loggedWith(submission) { info("engine: failed, {}: {}", answer.code, answer.detail) }
    }
}

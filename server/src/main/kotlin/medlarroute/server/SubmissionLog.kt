package medlarroute.server

import medlarroute.core.SubmissionId
import org.apache.logging.log4j.CloseableThreadContext

/** Name of the field of the thread context that holds the submission which a log line is about. */
internal const val SUBMISSION_FIELD = "submission"

/** Runs [body] so that its log lines carry [submission], by which a job can be followed through all processes. */
internal inline fun <T> loggedWith(submission: SubmissionId, body: () -> T): T =
    CloseableThreadContext.put(SUBMISSION_FIELD, submission.toString()).use { body() }

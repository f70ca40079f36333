package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.CallerId
import medlarroute.core.Job
import kotlin.time.Duration

/**
 * Outcome of one job.
 *
 * @property elapsed time from the submission to the answer.
 * @property longestRun longest run time that a backend server reported for one of its tasks.
 * @property messages messages exchanged with backend servers for its tasks.
 */
internal class JobRecord(
    val job: Job,
    val answer: Answer,
    val elapsed: Duration,
    val longestRun: Duration,
    val messages: Int,
)

/** Receives the outcomes of jobs, for metrics. Thread-safe and non-blocking. */
internal interface JobRecorder {
    /** A job has ended. */
    fun ended(record: JobRecord)

    /** A malformed request of [caller] was refused. */
    fun malformed(caller: CallerId)

    /** A start attempt for which [messages] were exchanged has ended after its job. */
    fun lateMessages(messages: Int)

    object None : JobRecorder {
        override fun ended(record: JobRecord): Unit = Unit

        override fun malformed(caller: CallerId): Unit = Unit

        override fun lateMessages(messages: Int): Unit = Unit
    }
}

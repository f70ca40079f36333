package medlarroute.core

import java.util.PriorityQueue
import kotlin.time.Duration

/** Ends jobs whose deadline has passed and jobs that were cancelled. */
internal class DeadlineSystem(private val tables: Tables) {
    private val byDeadline = PriorityQueue<JobRow>(compareBy { it.deadline })
    private var scanned = HashSet<SubmissionId>()

    fun cancel(submission: SubmissionId) {
        val job = tables.jobs[submission] ?: return
        if (job.outcome != null) return
        job.outcome =
            if (job.mayHaveRun) {
                Answer.Failed(FailureCode.CANCELLED, "cancelled by the caller")
            } else {
                Answer.Refused(listOf(Refusal(RefusalCode.CANCELLED, "job", "cancelled by the caller")))
            }
    }

    fun run(now: Duration) {
        tables.jobs.values.filter { scanned.add(it.spec.submission) }.forEach(byDeadline::add)
        while (true) {
            val job = byDeadline.peek()?.takeIf { it.deadline <= now || it.outcome != null } ?: return
            byDeadline.remove()
            scanned.remove(job.spec.submission)
            if (job.outcome == null) job.outcome = expired(job)
        }
    }

    fun nextDeadline(): Duration? = byDeadline.peek()?.deadline

    private fun expired(job: JobRow): Answer =
        if (job.mayHaveRun) {
            Answer.Failed(FailureCode.DEADLINE, "not all tasks were done within ${job.spec.timeout}")
        } else {
            val message = "no task could be started within ${job.spec.timeout}"
            Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)))
        }
}

package medlarroute.core

import java.util.PriorityQueue

/** Ends jobs whose deadline has passed and jobs that were cancelled. */
internal class DeadlineSystem(private val tables: Tables) {
    private val byDeadline = PriorityQueue<JobRow>(compareBy { it.deadlineNs })

    fun add(job: JobRow) {
        byDeadline += job
    }

    fun cancel(submission: SubmissionId) {
        val job = tables.jobs[submission]?.takeIf { !it.isEnded } ?: return
        val answer =
            if (job.mayHaveRun) {
                Answer.Failed(FailureCode.CANCELLED, "cancelled by the caller")
            } else {
                Answer.Refused(listOf(Refusal(RefusalCode.CANCELLED, "job", "cancelled by the caller")))
            }
        tables.end(job, answer)
    }

    fun run(nowNs: Long) {
        while (true) {
            val job = byDeadline.peek() ?: return
            if (job.deadlineNs > nowNs && !job.isEnded) return
            byDeadline.remove()
            if (!job.isEnded) tables.end(job, expired(job))
        }
    }

    fun nextDeadlineNs(): Long? = byDeadline.peek()?.deadlineNs

    private fun expired(job: JobRow): Answer =
        if (job.mayHaveRun) {
            Answer.Failed(FailureCode.DEADLINE, "not all tasks were done within ${job.spec.timeout}")
        } else {
            val message = "no task could be started within ${job.spec.timeout}"
            Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)))
        }
}

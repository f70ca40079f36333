package medlarroute.core

import java.util.PriorityQueue

/** Ends jobs whose deadline has passed and jobs that were cancelled. */
internal class DeadlineSystem(private val tables: Tables) {
    /** Refers to the job by its id, so that the tasks and outputs of an ended job aren't kept until its deadline. */
    private class Expiry(val deadlineNs: Long, val submission: SubmissionId)

    private val expiries = PriorityQueue<Expiry>(compareBy { it.deadlineNs })

    fun add(job: JobRow) {
        expiries += Expiry(job.deadlineNs, job.spec.submission)
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
            val expiry = expiries.peek() ?: return
            val job = tables.jobs[expiry.submission]?.takeIf { !it.isEnded }
            if (job != null && expiry.deadlineNs > nowNs) return
            expiries.remove()
            if (job != null) tables.end(job, expired(job))
        }
    }

    fun nextDeadlineNs(): Long? = expiries.peek()?.deadlineNs

    private fun expired(job: JobRow): Answer =
        if (job.mayHaveRun) {
            Answer.Failed(FailureCode.DEADLINE, "not all tasks were done within ${job.spec.timeout}")
        } else {
            val message = "no task could be started within ${job.spec.timeout}"
            Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", message)))
        }
}

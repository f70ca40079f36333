package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.Job
import medlarroute.core.SubmissionId

/** Told of the course of jobs, for metrics. Thread-safe and non-blocking. */
internal interface JobObserver {
    fun submitted(job: Job)

    fun answered(submission: SubmissionId, answer: Answer)

    object None : JobObserver {
        override fun submitted(job: Job): Unit = Unit

        override fun answered(submission: SubmissionId, answer: Answer): Unit = Unit
    }
}

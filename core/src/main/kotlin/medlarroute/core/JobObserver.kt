package medlarroute.core

import kotlin.time.Duration

/** How a job ended, without its content. */
public enum class JobResult {
    /** All tasks are done. */
    COMPLETE,

    /** The job may have run and has no complete answer. */
    FAILED,

    /** The system could not accept the job. */
    REFUSED,

    /** The caller cancelled the job, or its request broke a rule or a limit. */
    CALLER_CAUSED,
}

/**
 * A job that was answered by its home.
 *
 * @property latency time from the arrival of the request at the home to its answer.
 */
public data class JobOutcome(
    public val caller: CallerId,
    public val kind: KindId,
    public val latency: Duration,
    public val result: JobResult,
) {
    public companion object {
        /** Outcome of a job that got [answer]. */
        public fun of(caller: CallerId, kind: KindId, latency: Duration, answer: Answer): JobOutcome =
            JobOutcome(caller, kind, latency, resultOf(answer))

        private fun resultOf(answer: Answer): JobResult =
            when (answer) {
                is Answer.Complete -> JobResult.COMPLETE

                is Answer.Failed ->
                    if (answer.code == FailureCode.CANCELLED) JobResult.CALLER_CAUSED else JobResult.FAILED

                is Answer.Refused ->
                    if (answer.findings.any { it.code in systemCodes }) JobResult.REFUSED else JobResult.CALLER_CAUSED
            }

        private val systemCodes = setOf(RefusalCode.OVERLOAD, RefusalCode.DRAINING, RefusalCode.NO_RULES)
    }
}

/**
 * Notified once about each job, by its home. Replayed answers are not reported.
 *
 * Implementations must be thread-safe, must not block and must not throw.
 */
public fun interface JobObserver {
    /** Called when a job has been answered. */
    public fun answered(outcome: JobOutcome)

    public companion object {
        /** Ignores all outcomes. */
        public val NONE: JobObserver = JobObserver { }
    }
}

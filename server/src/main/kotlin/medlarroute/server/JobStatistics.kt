package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.NotStartedReason
import medlarroute.core.TaskId
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.TimeSource

/** Counts the messages exchanged with backend servers for one job. Thread-safe. */
internal class JobStatistics(val job: Job, clock: TimeSource.WithComparableMarks) {
    private val startedAt = clock.markNow()
    private val messages = AtomicInteger()
    private val longestRunNanos = AtomicLong()

    fun add(reply: TaskReply) {
        messages.addAndGet(reply.messages)
        longestRunNanos.accumulateAndGet(reply.runTime.inWholeNanoseconds, ::maxOf)
    }

    fun toRecord(answer: Answer): JobRecord =
        JobRecord(job, answer, startedAt.elapsedNow(), longestRunNanos.get().nanoseconds, messages.get())
}

/** The outcome of a start attempt. [messages] counts the start request and its reply, if they were exchanged. */
internal class TaskReply private constructor(val task: TaskId, val messages: Int, val runTime: Duration) {
    companion object {
        private const val START_AND_REPLY = 2

        /** Null if [input] does not end a start attempt. */
        fun ofOrNull(input: Input): TaskReply? =
            when (input) {
                is Input.TaskDone -> TaskReply(input.task, START_AND_REPLY, input.runTime)
                is Input.TaskFailed -> TaskReply(input.task, START_AND_REPLY, Duration.ZERO)
                is Input.TaskLost -> TaskReply(input.task, messages = 1, Duration.ZERO)
                is Input.TaskNotStarted -> TaskReply(input.task, messagesOf(input.reason), Duration.ZERO)
                else -> null
            }

        private fun messagesOf(reason: NotStartedReason): Int =
            when (reason) {
                NotStartedReason.BUSY, NotStartedReason.LEAVING -> START_AND_REPLY
                NotStartedReason.NOT_DELIVERED, NotStartedReason.STALE -> 0
            }
    }
}

package medlarroute.server

import arrow.core.getOrElse
import com.dynatrace.hash4j.hashing.Hashing
import medlarroute.core.Answer
import medlarroute.core.FailureCode
import medlarroute.core.Input
import medlarroute.core.Job
import medlarroute.core.Lookup
import medlarroute.core.Refusal
import medlarroute.core.RefusalCode
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Handles submissions whose home is this instance, and replays the answers of homes that handed over their records.
 *
 * Each request is answered shortly after its timeout at the latest, even if the engine never answers.
 * Thread-safe.
 */
internal class JobService(
    private val home: SubmissionRegistry.Home,
    private val registry: SubmissionRegistry,
    private val successors: SuccessorRecords,
    private val sink: JobSink,
    private val limits: JobLimits,
    private val recorder: JobRecorder = JobRecorder.None,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : HomeHandler {
    /** Accepts new jobs and cancellations. Thread-safe and non-blocking. */
    interface JobSink {
        /** Returns false if the job was rejected and will never run. */
        fun submit(job: Job): Boolean

        fun offer(input: Input)
    }

    /** A submission that has begun and has no answer yet. */
    private class PendingSubmission {
        val answer = CompletableFuture<Answer>()

        /** Completed once the job was passed to the engine; a cancellation must not reach the engine before the job. */
        val submitted = CompletableFuture<Unit>()

        /** Null until the request body has been parsed. */
        @Volatile
        var statistics: JobStatistics? = null

        private var decided: Answer? = null

        /** Returns the first [proposal] to all callers and calls [record] once, with that one. */
        @Synchronized
        fun decide(proposal: Answer, record: (Answer) -> Unit): Answer =
            decided ?: proposal.also {
                decided = it
                record(it)
            }
    }

    private val pendingSubmissions = ConcurrentHashMap<SubmissionId, PendingSubmission>()
    private val idle = CompletableFuture<Unit>()

    /** Number of submissions that are being registered, or have begun and have no answer. */
    private val open = AtomicInteger()

    @Volatile
    private var draining = false

    /** Number of submissions that have begun and have no answer yet. */
    val openSubmissions: Int get() = open.get()

    /** Refuses new submissions as not run from now on; completes when all submissions that have begun are answered. */
    fun drain(): CompletableFuture<Unit> {
        draining = true
        registry.seal()
        if (open.get() == 0) idle.complete(Unit)
        return idle
    }

    override fun handle(request: CallerRequest): CompletableFuture<CallerReply> {
        log.debugAbout(request.submission) { "http: ${request.operation} of ${request.caller} at its home" }
        if (!isHomeOf(request.submission)) return CompletableFuture.completedFuture(replay(request))
        return when (request.operation) {
            Operation.SUBMIT -> submit(request)
            Operation.STATUS -> CompletableFuture.completedFuture(status(request))
            Operation.CANCEL -> cancel(request)
        }
    }

    /** Records [answer] and replies to all waiting requests. Called once for each submission that has begun. */
    fun answered(submission: SubmissionId, answer: Answer) {
        val pending = pendingSubmissions[submission]
        if (pending == null) registry.end(submission, answer) else complete(submission, pending, answer)
        pendingSubmissions.remove(submission)
        decrementOpen()
    }

    private fun complete(submission: SubmissionId, pending: PendingSubmission, proposal: Answer) {
        val answer = pending.decide(proposal) {
            registry.end(submission, it)
            pending.statistics?.let { statistics -> recorder.ended(statistics.toRecord(it)) }
        }
        pending.answer.complete(answer)
    }

    /** Fails the submission if the engine has not answered shortly after the deadline; ignores a later answer. */
    private fun answerAtDeadline(submission: SubmissionId, pending: PendingSubmission, timeout: Duration) {
        pending.answer.copy()
            .completeOnTimeout(DEADLINE_PASSED, (timeout + ANSWER_GRACE).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .thenAccept { if (it === DEADLINE_PASSED) complete(submission, pending, DEADLINE_PASSED) }
    }

    /** Counts the messages of a start attempt that has ended. */
    fun taskEnded(reply: TaskReply) {
        val statistics = pendingSubmissions[reply.task.submission]?.statistics
        if (statistics == null) recorder.lateMessages(reply.messages) else statistics.add(reply)
    }

    private fun decrementOpen() {
        if (open.decrementAndGet() == 0 && draining) idle.complete(Unit)
    }

    private fun isHomeOf(submission: SubmissionId): Boolean = submission.ticket.home == home

    private fun replay(request: CallerRequest): CallerReply {
        val submission = request.submission
        val digest = if (request.operation == Operation.SUBMIT) digestOf(request.body) else null
        return when (val lookup = successors.lookup(submission, request.caller, digest)) {
            null -> ReplyJson.failure(submission, FailureCode.HOME_LOST, "the home of the ticket has ended")
            is Lookup.Closed -> if (digest == null) ReplyJson.unknown(submission) else replyTo(submission, lookup)
            else -> replyTo(submission, lookup)
        }
    }

    private fun submit(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        open.incrementAndGet()
        val lookup = registry.begin(submission, request.caller, digestOf(request.body))
        if (lookup == Lookup.New) return begin(request)
        decrementOpen()
        if (lookup == Lookup.Running) return await(submission, attach(request), request.timeout)
        return CompletableFuture.completedFuture(replyTo(submission, lookup))
    }

    private fun begin(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        val pending = pendingSubmissions.computeIfAbsent(submission) { PendingSubmission() }
        val body = JobBody.parse(request.body, limits).getOrElse { findings ->
            recorder.malformed(request.caller)
            answered(submission, Answer.Refused(findings))
            return await(submission, pending, request.timeout)
        }
        val job = body.toJob(request)
        pending.statistics = JobStatistics(job, clock)
        answerAtDeadline(submission, pending, job.timeout)
        if (!sink.submit(job)) answered(submission, INBOX_FULL)
        pending.submitted.complete(Unit)
        return await(submission, pending, job.timeout)
    }

    private fun JobBody.toJob(request: CallerRequest): Job {
        val timeout = minOf(timeout, request.timeout)
        return Job(request.submission, request.caller, kind, timeout, tasks, idempotent)
    }

    /** Checks the registry again after attaching, since the job may have ended after the first lookup. */
    private fun attach(request: CallerRequest): PendingSubmission {
        val submission = request.submission
        val pending = pendingSubmissions.computeIfAbsent(submission) { PendingSubmission() }
        val lookup = registry.peek(submission, request.caller)
        if (lookup == Lookup.Running) return pending
        if (pending.statistics == null) pendingSubmissions.remove(submission, pending)
        pending.answer.complete(answerOf(lookup))
        return pending
    }

    private fun answerOf(lookup: Lookup?): Answer =
        if (lookup is Lookup.Answered) {
            lookup.answer
        } else {
            Answer.Failed(FailureCode.ANSWER_EXPIRED, "the answer is no longer kept")
        }

    private fun await(
        submission: SubmissionId,
        pending: PendingSubmission,
        timeout: Duration,
    ): CompletableFuture<CallerReply> {
        val late = ReplyJson.answer(submission, DEADLINE_PASSED)
        val limit = minOf(timeout, pending.statistics?.job?.timeout ?: timeout) + ANSWER_GRACE * 2
        return pending.answer
            .thenApply { ReplyJson.answer(submission, it) }
            .completeOnTimeout(late, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun status(request: CallerRequest): CallerReply =
        when (val lookup = registry.peek(request.submission, request.caller)) {
            null -> ReplyJson.unknown(request.submission)
            else -> replyTo(request.submission, lookup)
        }

    private fun cancel(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        if (registry.peek(submission, request.caller) != Lookup.Running) {
            return CompletableFuture.completedFuture(status(request))
        }
        val pending = attach(request)
        pending.submitted.thenRun { sink.offer(Input.Cancel(submission)) }
        return await(submission, pending, request.timeout)
    }

    private fun replyTo(submission: SubmissionId, lookup: Lookup): CallerReply =
        when (lookup) {
            Lookup.New, Lookup.Running -> ReplyJson.running(submission)

            is Lookup.Answered -> ReplyJson.answer(submission, lookup.answer)

            Lookup.Expired ->
                ReplyJson.failure(submission, FailureCode.ANSWER_EXPIRED, "handled before; the answer is not kept")

            Lookup.DigestMismatch ->
                ReplyJson.refusal(null, RefusalCode.DIGEST_MISMATCH, "Submission-Id", "used before with another body")

            is Lookup.Closed -> ReplyJson.refusal(submission, closedCode(), "Submission-Id", lookup.reason)

            // The reply names no submission: another caller's submission may be running, or the ticket may be issued
            // later.
            Lookup.UnknownTicket ->
                ReplyJson.refusal(null, RefusalCode.UNKNOWN_TICKET, "Submission-Id", "the ticket is not known")
        }

    private fun closedCode() = if (draining) RefusalCode.DRAINING else RefusalCode.TICKET_CLOSED

    private companion object {
        val log = LogManager.getLogger(JobService::class.java)

        /** Lets the engine answer first: its answer at the deadline has more detail than the one given here. */
        val ANSWER_GRACE = 100.milliseconds
        val DEADLINE_PASSED = Answer.Failed(FailureCode.DEADLINE, "no answer was known at the deadline")
        val INBOX_FULL = Answer.Refused(
            listOf(Refusal(RefusalCode.OVERLOAD, "job", "too many jobs are waiting for admission")),
            retryAfter = 100.milliseconds,
        )
    }
}

/** Digest by which the registry detects that a submission id is reused with a different request body. */
internal fun digestOf(body: ByteArray): Long = Hashing.komihash5_0().hashBytesToLong(body)

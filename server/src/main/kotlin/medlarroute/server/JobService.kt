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
 * Handles submissions whose home is this instance, and replays those of homes that handed over their records.
 *
 * Each request is answered shortly after its timeout at the latest, even if the engine never answers.
 * Thread-safe.
 */
internal class JobService(
    private val home: SubmissionRegistry.Home,
    private val registry: SubmissionRegistry,
    private val successors: SuccessorRecords,
    private val loop: JobSink,
    private val limits: JobLimits,
    private val recorder: JobRecorder = JobRecorder.None,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : HomeHandler {
    /** Where new jobs and cancellations go. Thread-safe and non-blocking. */
    interface JobSink {
        /** False if the job was not taken and never will be. */
        fun submit(job: Job): Boolean

        fun offer(input: Input)
    }

    /** A submission that has begun and whose answer is not known. */
    private class Pending {
        val answer = CompletableFuture<Answer>()

        /** Completed once the engine was given the job; a cancellation must not overtake it. */
        val submitted = CompletableFuture<Unit>()

        /** Null until the body was read. */
        @Volatile
        var account: JobAccount? = null

        private var settled: Answer? = null

        /** Calls [record] with the first [proposal] and returns that one, so that all are told the same. */
        @Synchronized
        fun settle(proposal: Answer, record: (Answer) -> Unit): Answer =
            settled ?: proposal.also {
                settled = it
                record(it)
            }
    }

    private val pending = ConcurrentHashMap<SubmissionId, Pending>()
    private val idle = CompletableFuture<Unit>()

    /** Submissions that may be about to begin, or have begun and have no answer. */
    private val open = AtomicInteger()

    @Volatile
    private var draining = false

    /** Submissions that have begun and have no answer yet. */
    val openSubmissions: Int get() = open.get()

    /** Refuses new submissions as not run from now on; completes when all that have begun are answered. */
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

    /** Records [answer] and hands it to everyone who waits for it. Called once for each submission that has begun. */
    fun answered(submission: SubmissionId, answer: Answer) {
        val entry = pending[submission]
        if (entry == null) registry.end(submission, answer) else settle(submission, entry, answer)
        pending.remove(submission)
        closed()
    }

    private fun settle(submission: SubmissionId, entry: Pending, proposal: Answer) {
        val answer = entry.settle(proposal) {
            registry.end(submission, it)
            entry.account?.let { account -> recorder.ended(account.close(it)) }
        }
        entry.answer.complete(answer)
    }

    /** Answers for the engine if it has not done so shortly after the deadline; its own answer then counts no more. */
    private fun settleWhenLate(submission: SubmissionId, entry: Pending, timeout: Duration) {
        entry.answer.copy()
            .completeOnTimeout(LATE, (timeout + ANSWER_GRACE).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .thenAccept { if (it === LATE) settle(submission, entry, LATE) }
    }

    /** Counts the messages of a start that has ended. */
    fun taskEnded(reply: TaskReply) {
        val account = pending[reply.task.submission]?.account
        if (account == null) recorder.stray(reply.messages) else account.add(reply)
    }

    private fun closed() {
        if (open.decrementAndGet() == 0 && draining) idle.complete(Unit)
    }

    private fun isHomeOf(submission: SubmissionId): Boolean = submission.ticket.home == home

    private fun replay(request: CallerRequest): CallerReply {
        val submission = request.submission
        val digest = if (request.operation == Operation.SUBMIT) digestOf(request.body) else null
        return when (val lookup = successors.lookup(submission, request.caller, digest)) {
            null -> ReplyJson.failure(submission, FailureCode.HOME_LOST, "the home of the ticket has ended")
            is Lookup.Closed -> if (digest == null) ReplyJson.unknown(submission) else settled(submission, lookup)
            else -> settled(submission, lookup)
        }
    }

    private fun submit(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        open.incrementAndGet()
        val lookup = registry.begin(submission, request.caller, digestOf(request.body))
        if (lookup == Lookup.New) return begin(request)
        closed()
        if (lookup == Lookup.Running) return await(submission, attach(request), request.timeout)
        return CompletableFuture.completedFuture(settled(submission, lookup))
    }

    private fun begin(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        val entry = pending.computeIfAbsent(submission) { Pending() }
        val body = JobBody.parse(request.body, limits).getOrElse { findings ->
            recorder.malformed(request.caller)
            answered(submission, Answer.Refused(findings))
            return await(submission, entry, request.timeout)
        }
        val job = body.toJob(request)
        entry.account = JobAccount(job, clock)
        settleWhenLate(submission, entry, job.timeout)
        if (!loop.submit(job)) answered(submission, INBOX_FULL)
        entry.submitted.complete(Unit)
        return await(submission, entry, job.timeout)
    }

    private fun JobBody.toJob(request: CallerRequest): Job {
        val timeout = minOf(timeout, request.timeout)
        return Job(request.submission, request.caller, kind, timeout, tasks, idempotent)
    }

    /** The job may end between the look-up and the attachment, so the registry is asked again afterwards. */
    private fun attach(request: CallerRequest): Pending {
        val submission = request.submission
        val entry = pending.computeIfAbsent(submission) { Pending() }
        val lookup = registry.peek(submission, request.caller)
        if (lookup == Lookup.Running) return entry
        if (entry.account == null) pending.remove(submission, entry)
        entry.answer.complete(answerOf(lookup))
        return entry
    }

    private fun answerOf(lookup: Lookup?): Answer =
        if (lookup is Lookup.Answered) {
            lookup.answer
        } else {
            Answer.Failed(FailureCode.ANSWER_EXPIRED, "the answer is no longer kept")
        }

    private fun await(submission: SubmissionId, entry: Pending, timeout: Duration): CompletableFuture<CallerReply> {
        val late = ReplyJson.answer(submission, LATE)
        val limit = minOf(timeout, entry.account?.job?.timeout ?: timeout) + ANSWER_GRACE * 2
        return entry.answer
            .thenApply { ReplyJson.answer(submission, it) }
            .completeOnTimeout(late, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun status(request: CallerRequest): CallerReply =
        when (val lookup = registry.peek(request.submission, request.caller)) {
            null -> ReplyJson.unknown(request.submission)
            else -> settled(request.submission, lookup)
        }

    private fun cancel(request: CallerRequest): CompletableFuture<CallerReply> {
        val submission = request.submission
        if (registry.peek(submission, request.caller) != Lookup.Running) {
            return CompletableFuture.completedFuture(status(request))
        }
        val entry = attach(request)
        entry.submitted.thenRun { loop.offer(Input.Cancel(submission)) }
        return await(submission, entry, request.timeout)
    }

    private fun settled(submission: SubmissionId, lookup: Lookup): CallerReply =
        when (lookup) {
            Lookup.New, Lookup.Running -> ReplyJson.running(submission)

            is Lookup.Answered -> ReplyJson.answer(submission, lookup.answer)

            Lookup.Expired ->
                ReplyJson.failure(submission, FailureCode.ANSWER_EXPIRED, "handled before; the answer is not kept")

            Lookup.DigestMismatch ->
                ReplyJson.refusal(null, RefusalCode.DIGEST_MISMATCH, "Submission-Id", "used before with another body")

            is Lookup.Closed -> ReplyJson.refusal(submission, closedCode(), "Submission-Id", lookup.reason)

            // Names no submission: that of another caller may run, and a ticket may be issued later.
            Lookup.UnknownTicket ->
                ReplyJson.refusal(null, RefusalCode.UNKNOWN_TICKET, "Submission-Id", "the ticket is not known")
        }

    private fun closedCode() = if (draining) RefusalCode.DRAINING else RefusalCode.TICKET_CLOSED

    private companion object {
        val log = LogManager.getLogger(JobService::class.java)

        /** Lets the engine answer first: its answer at the deadline tells more than the one given here. */
        val ANSWER_GRACE = 100.milliseconds
        val LATE = Answer.Failed(FailureCode.DEADLINE, "no answer was known at the deadline")
        val INBOX_FULL = Answer.Refused(
            listOf(Refusal(RefusalCode.OVERLOAD, "job", "too many requests wait for a decision")),
            retryAfter = 100.milliseconds,
        )
    }
}

/** Digest by which the registry tells whether a submission id is used again with another request. */
internal fun digestOf(body: ByteArray): Long = Hashing.komihash5_0().hashBytesToLong(body)

package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.TicketId
import java.util.concurrent.CompletableFuture
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Jobs with an `Idempotency-Key`: claims the key for a submission of this instance, which thereby becomes the home, or
 * hands the request to the home that has claimed it before.
 *
 * A claim whose outcome is not known starts nothing here. If it has taken effect after all, a later request with the
 * key finds the submission and starts it then, once, at its home. Thread-safe.
 */
internal class ClaimedJobs(
    private val claims: ClaimStore,
    private val registry: SubmissionRegistry,
    private val forwarder: RequestForwarder,
    private val retention: Duration,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : ClaimHandler {
    private class Session(val ticket: TicketId, var usedAt: ComparableTimeMark) {
        var lastSequence = 0L
    }

    private val sessions = HashMap<CallerId, Session>()

    override fun handle(request: KeyedRequest): CompletableFuture<CallerReply> {
        val submission = nextSubmission(request.caller) ?: return CompletableFuture.completedFuture(NO_TICKET)
        val begunAt = clock.markNow()
        return claims.claim(request.caller, request.key, submission).thenCompose { result ->
            when (result) {
                is ClaimResult.Claimed -> submit(request, submission, begunAt)
                is ClaimResult.Taken -> submit(request, result.submission, begunAt)
                is ClaimResult.Unknown -> CompletableFuture.completedFuture(CLAIM_UNKNOWN)
            }
        }
    }

    private fun submit(
        request: KeyedRequest,
        submission: SubmissionId,
        begunAt: ComparableTimeMark,
    ): CompletableFuture<CallerReply> {
        val timeLeft = (request.timeout - begunAt.elapsedNow()).coerceAtLeast(1.milliseconds)
        return forwarder.forward(
            CallerRequest(Operation.SUBMIT, submission, request.caller, request.body, timeLeft),
        )
    }

    /** The next submission of the caller; null if no ticket can be opened. */
    @Synchronized
    private fun nextSubmission(caller: CallerId): SubmissionId? {
        val session = sessions[caller]?.takeIf { isUsable(it) } ?: open(caller) ?: return null
        session.usedAt = clock.markNow()
        return SubmissionId(session.ticket, ++session.lastSequence)
    }

    /** The registry drops a ticket that is not used for the retention time, and closes one whose window is full. */
    private fun isUsable(session: Session) =
        session.lastSequence < SEQUENCES_PER_TICKET && session.usedAt.elapsedNow() < retention / 2

    private fun open(caller: CallerId): Session? {
        sessions.values.removeIf { !isUsable(it) }
        val ticket = registry.openTicket(caller) ?: return null
        return Session(ticket, clock.markNow()).also { sessions[caller] = it }
    }

    private companion object {
        /** No more than a window holds, so that a long job never closes the ticket for the jobs after it. */
        const val SEQUENCES_PER_TICKET = 500

        /** Not a refusal: an earlier request with the key may have run. */
        val NO_TICKET =
            ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, "this instance issues no tickets now")
        val CLAIM_UNKNOWN =
            ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, "the platform did not tell whether the key was used")
    }
}

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
 * Handles jobs with an `Idempotency-Key`: claims the key for a submission of this instance, which thereby becomes the
 * home, or forwards the request to the home that has claimed the key before.
 *
 * A claim with an unknown outcome starts nothing. If it did take effect, a later request with the same key finds the
 * submission and starts it once, at its home. Thread-safe.
 */
internal class ClaimedJobs(
    private val claims: ClaimStore,
    private val registry: SubmissionRegistry,
    private val forwarder: RequestForwarder,
    private val retention: Duration,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : ClaimHandler {
    private class TicketSession(val ticket: TicketId, var usedAt: ComparableTimeMark) {
        var lastSequence = 0L
    }

    private val sessions = HashMap<CallerId, TicketSession>()

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

    /** Allocates the next submission of the caller; null if no ticket can be opened. */
    @Synchronized
    private fun nextSubmission(caller: CallerId): SubmissionId? {
        val session = sessions[caller]?.takeIf { isUsable(it) } ?: openSession(caller) ?: return null
        session.usedAt = clock.markNow()
        return SubmissionId(session.ticket, ++session.lastSequence)
    }

    /** The registry removes a ticket that is unused for the retention time, and closes one whose window is full. */
    private fun isUsable(session: TicketSession) =
        session.lastSequence < SEQUENCES_PER_TICKET && session.usedAt.elapsedNow() < retention / 2

    private fun openSession(caller: CallerId): TicketSession? {
        sessions.values.removeIf { !isUsable(it) }
        val ticket = registry.openTicket(caller) ?: return null
        return TicketSession(ticket, clock.markNow()).also { sessions[caller] = it }
    }

    private companion object {
        /** At most the window size, so that a long-running job never closes the ticket for the jobs after it. */
        const val SEQUENCES_PER_TICKET = 500

        /** A failure and not a refusal: an earlier request with the same key may have run. */
        val NO_TICKET =
            ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, "this instance can't issue tickets now")
        val CLAIM_UNKNOWN =
            ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, "the platform did not report whether the key was used")
    }
}

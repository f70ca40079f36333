package medlarroute.server

import medlarroute.core.Answer
import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.Lookup
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.TicketId
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Gives a submission id to each request with an `Idempotency-Key`, under tickets of this instance, and lets the row of
 * the key decide which submission it belongs to.
 */
internal class KeyedSubmissions(
    private val claims: ClaimStore,
    private val registry: SubmissionRegistry,
    private val home: HomeHandler,
    private val forwarder: RequestForwarder,
) : ClaimHandler {
    private class Ticket(val id: TicketId) {
        var lastSequence = 0L
    }

    private val tickets = HashMap<CallerId, Ticket>()

    override fun handle(request: KeyedRequest): CompletableFuture<CallerReply> {
        val submission = nextSubmission(request.caller)
            ?: return done(unknown(null, "this instance takes no new submissions"))
        val begunAt = TimeSource.Monotonic.markNow()
        return claims.claim(request.caller, request.key, submission).thenCompose { result ->
            val timeLeft = (request.timeout - begunAt.elapsedNow()).coerceAtLeast(1.milliseconds)
            when (result) {
                is ClaimResult.Claimed -> home.handle(request.submitted(submission, timeLeft))
                is ClaimResult.Taken -> forwarder.forward(request.submitted(result.submission, timeLeft))
                is ClaimResult.Unknown -> done(giveUp(request, submission))
            }
        }
    }

    private fun KeyedRequest.submitted(submission: SubmissionId, timeLeft: Duration) =
        CallerRequest(Operation.SUBMIT, submission, caller, body, timeLeft)

    /**
     * The claim may still take effect and lead others here. So the submission ends now, unless such a request has begun
     * it already.
     */
    private fun giveUp(request: KeyedRequest, submission: SubmissionId): CallerReply {
        val answer = Answer.Failed(FailureCode.CLAIM_UNKNOWN, "the platform does not tell whether the key was used")
        if (registry.begin(submission, request.caller, digestOf(request.body)) == Lookup.New) {
            registry.end(submission, answer)
        }
        return unknown(submission, answer.detail)
    }

    private fun unknown(submission: SubmissionId?, detail: String): CallerReply =
        ReplyJson.failure(submission, FailureCode.CLAIM_UNKNOWN, detail)

    @Synchronized
    private fun nextSubmission(caller: CallerId): SubmissionId? {
        val ticket = tickets[caller]?.takeIf { it.lastSequence < SEQUENCES_PER_TICKET }
            ?: Ticket(registry.openTicket(caller) ?: return null).also { tickets[caller] = it }
        return SubmissionId(ticket.id, ++ticket.lastSequence)
    }

    private fun done(reply: CallerReply) = CompletableFuture.completedFuture(reply)

    private companion object {
        /** Fewer than the window of a ticket holds, so that no sequence is refused for a full window. */
        const val SEQUENCES_PER_TICKET = 500L
    }
}

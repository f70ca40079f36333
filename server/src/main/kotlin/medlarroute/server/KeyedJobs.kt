package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.TicketId
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Runs jobs that were submitted with an `Idempotency-Key`.
 *
 * Each request offers a submission of this instance to the claim of its key; the submission that the claim names is
 * the one that runs, wherever its home is. Nothing is started before the claim is settled. Thread-safe.
 *
 * @param route handles a request here or at its home.
 */
internal class KeyedJobs(
    private val registry: SubmissionRegistry,
    private val claims: ClaimStore,
    private val retention: Duration,
    private val route: RequestForwarder,
) : ClaimHandler {
    private class Session(val ticket: TicketId) {
        val openedAt = TimeSource.Monotonic.markNow()
        var lastSequence = 0L
    }

    private val sessions = HashMap<CallerId, Session>()

    override fun handle(request: KeyedRequest): CompletableFuture<CallerReply> {
        val offered = nextSubmission(request.caller) ?: return done(unknown("this instance issues no tickets now"))
        return claims.claim(request.caller, request.key, offered).thenCompose { result ->
            when (result) {
                is ClaimResult.Claimed -> submit(request, offered)
                is ClaimResult.Taken -> submit(request, result.submission)
                is ClaimResult.Unknown -> done(unknown("the platform did not tell in time whether the key is in use"))
            }
        }
    }

    private fun submit(request: KeyedRequest, submission: SubmissionId): CompletableFuture<CallerReply> =
        route.forward(CallerRequest(Operation.SUBMIT, submission, request.caller, request.body, request.timeout))

    private fun unknown(detail: String) = ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, detail)

    /** A ticket is renewed long before its window is full or its retention time is over. */
    @Synchronized
    private fun nextSubmission(caller: CallerId): SubmissionId? {
        val session = sessions[caller]?.takeIf(::isUsable) ?: open(caller) ?: return null
        return SubmissionId(session.ticket, ++session.lastSequence)
    }

    private fun isUsable(session: Session): Boolean =
        session.lastSequence < MAX_SEQUENCES && session.openedAt.elapsedNow() < retention / 2

    private fun open(caller: CallerId): Session? =
        registry.openTicket(caller)?.let { Session(it) }?.also { sessions[caller] = it }

    private fun done(reply: CallerReply): CompletableFuture<CallerReply> = CompletableFuture.completedFuture(reply)

    private companion object {
        const val MAX_SEQUENCES = 100L
    }
}

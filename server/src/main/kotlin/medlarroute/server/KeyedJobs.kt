package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.TicketId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Claims an idempotency key for a submission. Never completes exceptionally. */
internal typealias ClaimKey = (CallerId, String, SubmissionId) -> CompletableFuture<ClaimResult>

/**
 * Gives each job that comes with an idempotency key a submission under a ticket of this instance, and claims the key
 * for it before anything starts. A key that is already claimed leads to the submission of the first request, whose home
 * answers; its registry begins that submission at most once.
 *
 * What is said here is never "not run": another request with the same key may have run.
 */
internal class KeyedJobs(
    private val identity: SubmissionRegistry.Home,
    private val registry: SubmissionRegistry,
    private val home: HomeHandler,
    private val forwarder: RequestForwarder,
    private val claim: ClaimKey,
    private val ticketLife: Duration,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : ClaimHandler {
    /** A ticket of one caller. Replaced well before its window is full or the registry drops it as unused. */
    private class KeyTicket(val id: TicketId, val openedAt: Duration) {
        var lastSequence = 0L
    }

    private val origin = clock.markNow()
    private val tickets = ConcurrentHashMap<CallerId, KeyTicket>()

    override fun handle(request: KeyedRequest): CompletableFuture<CallerReply> {
        val submission = nextSubmission(request.caller)
            ?: return done(unknown("this instance takes no new jobs now"))
        return claim(request.caller, request.key, submission).thenCompose { result ->
            when (result) {
                is ClaimResult.Claimed -> home.handle(request.under(submission))
                is ClaimResult.Taken -> handTo(result.submission, request)
                is ClaimResult.Unknown -> done(unknown("the platform did not tell whether the key was used before"))
            }
        }
    }

    private fun handTo(submission: SubmissionId, request: KeyedRequest): CompletableFuture<CallerReply> {
        val isOwn = submission.ticket.home == identity
        return if (isOwn) home.handle(request.under(submission)) else forwarder.forward(request.under(submission))
    }

    private fun KeyedRequest.under(submission: SubmissionId) =
        CallerRequest(Operation.SUBMIT, submission, caller, body, timeout)

    private fun nextSubmission(caller: CallerId): SubmissionId? {
        var submission: SubmissionId? = null
        tickets.compute(caller) { _, current ->
            val ticket = current?.takeIf(::isUsable) ?: registry.openTicket(caller)?.let { KeyTicket(it, now()) }
            submission = ticket?.let { SubmissionId(it.id, ++it.lastSequence) }
            ticket
        }
        return submission
    }

    private fun isUsable(ticket: KeyTicket): Boolean =
        ticket.lastSequence < SEQUENCES_PER_TICKET && now() - ticket.openedAt < ticketLife

    private fun now(): Duration = origin.elapsedNow()

    private fun unknown(detail: String): CallerReply = ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, detail)

    private fun done(reply: CallerReply) = CompletableFuture.completedFuture(reply)

    private companion object {
        /** Half of the default window: a slow first job never closes the ticket for the following ones. */
        const val SEQUENCES_PER_TICKET = 500L
    }
}

package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.SubmissionId
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Operation that a caller requests on a submission. */
internal enum class Operation { SUBMIT, STATUS, CANCEL }

/**
 * An authenticated request of a caller that is routed to the home of its submission.
 *
 * @property body JSON body as received; empty for [Operation.STATUS] and [Operation.CANCEL].
 * @property timeout time left until the request's deadline.
 */
internal class CallerRequest(
    val operation: Operation,
    val submission: SubmissionId,
    val caller: CallerId,
    val body: ByteArray,
    val timeout: Duration,
)

/** HTTP reply to a [CallerRequest]. [body] is JSON. */
internal class CallerReply(val httpStatus: Int, val body: ByteArray)

/** Handles requests whose home is this instance or has handed its records over to this instance. */
internal fun interface HomeHandler {
    /** Completes when the answer is known. Never completes exceptionally. */
    fun handle(request: CallerRequest): CompletableFuture<CallerReply>
}

/** Forwards requests to their home on another instance. */
internal fun interface RequestForwarder {
    /** Completes with the reply of the home, or with a failure that says the job may have run. Never exceptionally. */
    fun forward(request: CallerRequest): CompletableFuture<CallerReply>
}

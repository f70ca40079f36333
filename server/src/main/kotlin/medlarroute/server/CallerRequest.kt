package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.SubmissionId
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** What a caller asks about a submission. */
internal enum class Operation { SUBMIT, STATUS, CANCEL }

/**
 * An authenticated request of a caller, on its way to the home of its submission.
 *
 * @property body JSON body as received; empty for [Operation.STATUS] and [Operation.CANCEL].
 * @property timeout time left until the caller gives up.
 */
internal class CallerRequest(
    val operation: Operation,
    val submission: SubmissionId,
    val caller: CallerId,
    val body: ByteArray,
    val timeout: Duration,
)

/** The reply to a [CallerRequest], ready for HTTP. [body] is JSON. */
internal class CallerReply(val httpStatus: Int, val body: ByteArray)

/** Handles requests whose home is this instance, or whose home has handed its records to this instance. */
internal fun interface HomeHandler {
    /** Completes when the answer is known. Never completes exceptionally. */
    fun handle(request: CallerRequest): CompletableFuture<CallerReply>
}

/** Hands requests to their home on another instance. */
internal fun interface RequestForwarder {
    /** Completes with the home's reply or with a truthful failure. Never completes exceptionally. */
    fun forward(request: CallerRequest): CompletableFuture<CallerReply>
}

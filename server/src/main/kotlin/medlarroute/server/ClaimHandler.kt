package medlarroute.server

import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** A job that was submitted with an `Idempotency-Key` instead of a submission id. */
internal class KeyedRequest(
    val key: String,
    val caller: CallerId,
    val body: ByteArray,
    val timeout: Duration,
)

/** Finds or becomes the home of jobs submitted with an `Idempotency-Key`. */
internal fun interface ClaimHandler {
    /** Completes when the answer is known. Never completes exceptionally. */
    fun handle(request: KeyedRequest): CompletableFuture<CallerReply>

    companion object {
        /** Without the platform's table nothing tells whether a key was used before, so nothing is started. */
        val Unavailable = ClaimHandler {
            val detail = "idempotency keys need the platform, this instance has none"
            CompletableFuture.completedFuture(ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, detail))
        }
    }
}

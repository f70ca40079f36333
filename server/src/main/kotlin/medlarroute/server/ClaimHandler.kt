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

/** Handles jobs submitted with an `Idempotency-Key`, whose home is the instance that claims the key first. */
internal fun interface ClaimHandler {
    /** Completes when the answer is known. Never completes exceptionally. */
    fun handle(request: KeyedRequest): CompletableFuture<CallerReply>

    companion object {
        /** Starts nothing: without the platform's table, an instance can't know whether a key was used before. */
        val Unavailable = ClaimHandler {
            val detail = "idempotency keys need the platform, this instance has none"
            CompletableFuture.completedFuture(ReplyJson.failure(null, FailureCode.CLAIM_UNKNOWN, detail))
        }
    }
}

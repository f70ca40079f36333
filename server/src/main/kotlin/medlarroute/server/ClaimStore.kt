package medlarroute.server

import arrow.core.Either
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import medlarroute.core.Backoff
import medlarroute.core.CallerId
import medlarroute.core.SubmissionId
import org.apache.logging.log4j.LogManager
import java.security.MessageDigest
import java.util.HexFormat
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Outcome of claiming an idempotency key. */
internal sealed interface ClaimResult {
    /** The key belongs to the submission named in the claim, and to no other from now on. */
    data object Claimed : ClaimResult

    /** The key belongs to the earlier [submission], whose home answers the request. */
    data class Taken(val submission: SubmissionId) : ClaimResult

    /**
     * The platform did not answer in time, so nothing is started now. The claim may still take effect; a later request
     * with the key then starts the submission once, at its home.
     */
    data object Unknown : ClaimResult
}

/** Row of a claim. The platform may delete it after [expiresAtEpochMs]. */
@Serializable
internal data class ClaimRow(val submission: String, val nonce: String, val expiresAtEpochMs: Long)

/**
 * Claims idempotency keys by inserting a row for each caller and key.
 *
 * An instance has at most one transaction in flight; claims that arrive meanwhile are queued and written together in
 * the next one. If a write conflicts or its reply is lost, the claim is resolved by reading its row.
 */
internal class ClaimStore(
    private val platform: PlatformClient?,
    private val limit: Duration,
    private val retention: Duration,
    private val random: Random = Random.Default,
    private val epochMs: () -> Long = System::currentTimeMillis,
) {
    private class Claim(
        val key: String,
        val submission: SubmissionId,
        val row: ClaimRow,
        val deadline: TimeSource.Monotonic.ValueTimeMark,
    ) {
        val result = CompletableFuture<ClaimResult>()
    }

    private val queued = ArrayDeque<Claim>()
    private val inFlight = HashMap<String, Claim>()
    private var isWriting = false

    /** Claims [key] of [caller] for [submission]. Never completes exceptionally. */
    fun claim(caller: CallerId, key: String, submission: SubmissionId): CompletableFuture<ClaimResult> {
        if (platform == null) return CompletableFuture.completedFuture(ClaimResult.Unknown)
        val expiresAtEpochMs = epochMs() + retention.inWholeMilliseconds
        val row = ClaimRow(submission.toString(), UUID.randomUUID().toString(), expiresAtEpochMs)
        val claim = Claim(rowKey(caller, key), submission, row, TimeSource.Monotonic.markNow() + limit)
        val earlier = enqueue(claim)
        if (earlier != null) return earlier.result.thenApply { resultForLaterClaim(earlier, it) }
        claim.result.whenComplete { _, _ -> remove(claim) }
        claim.result.completeOnTimeout(ClaimResult.Unknown, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        writeNextBatch()
        return claim.result
    }

    /** The later of two concurrent claims for one key gets the submission of the earlier one. */
    private fun resultForLaterClaim(earlier: Claim, result: ClaimResult): ClaimResult =
        if (result is ClaimResult.Claimed) ClaimResult.Taken(earlier.submission) else result

    @Synchronized
    private fun enqueue(claim: Claim): Claim? {
        inFlight[claim.key]?.let { return it }
        inFlight[claim.key] = claim
        queued += claim
        return null
    }

    @Synchronized
    private fun remove(claim: Claim) {
        inFlight.remove(claim.key, claim)
    }

    @Synchronized
    private fun nextBatch(): List<Claim> {
        if (isWriting) return emptyList()
        queued.removeAll { it.result.isDone }
        val batch = queued.take(MAX_BATCH)
        repeat(batch.size) { queued.removeFirst() }
        isWriting = batch.isNotEmpty()
        return batch
    }

    @Synchronized
    private fun writeEnded() {
        isWriting = false
    }

    private fun writeNextBatch() {
        val batch = nextBatch()
        if (batch.isEmpty()) return
        val rows = batch.map { NewRow(it.key, Json.encodeToJsonElement(ClaimRow.serializer(), it.row)) }
        checkNotNull(platform).insertAll(CLAIMS_TABLE, rows).whenComplete { result, _ ->
            writeEnded()
            if (result is Either.Right) {
                batch.forEach { it.result.complete(ClaimResult.Claimed) }
            } else {
                resolve(batch, result)
            }
            writeNextBatch()
        }
    }

    private fun resolve(batch: List<Claim>, result: Either<PlatformError, Unit>?) {
        if (result?.leftOrNull() !is PlatformError.ConditionFailed) {
            log.warn("platform: a transaction of claims failed, reading their rows: {}", result)
        }
        batch.forEach(::resolve)
    }

    /** Reads the row and compares its nonce. An absent row is inserted by itself, on the same condition. */
    private fun resolve(claim: Claim) {
        if (isDoneOrExpired(claim)) return
        checkNotNull(platform).read(CLAIMS_TABLE, claim.key, ClaimRow.serializer()).thenAccept { read ->
            when (val found = read.getOrNull()) {
                is Fetched.Present -> claim.result.complete(resultOf(claim, found.value))
                is Fetched.Absent -> insertAlone(claim)
                else -> retryLater { resolve(claim) }
            }
        }
    }

    private fun insertAlone(claim: Claim) {
        if (isDoneOrExpired(claim)) return
        checkNotNull(platform).write(CLAIMS_TABLE, claim.key, ClaimRow.serializer(), claim.row, WriteCondition.Absent)
            .thenAccept { result ->
                if (result.isRight()) claim.result.complete(ClaimResult.Claimed) else retryLater { resolve(claim) }
            }
    }

    private fun resultOf(claim: Claim, row: ClaimRow): ClaimResult {
        if (row.nonce == claim.row.nonce) return ClaimResult.Claimed
        return SubmissionId.parseOrNull(row.submission)?.let { ClaimResult.Taken(it) } ?: ClaimResult.Unknown
    }

    private fun isDoneOrExpired(claim: Claim): Boolean {
        if (claim.deadline.hasPassedNow()) claim.result.complete(ClaimResult.Unknown)
        return claim.result.isDone
    }

    private fun retryLater(step: () -> Unit) {
        val waitMs = Backoff.jittered(RETRY_WAIT, random).inWholeMilliseconds
        CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS).execute(step)
    }

    private companion object {
        const val CLAIMS_TABLE = "claims"
        const val MAX_BATCH = 64

        /** Hashes caller and key, as row keys must be short. The length prefix makes the pair unambiguous. */
        fun rowKey(caller: CallerId, key: String): String {
            val text = "${caller.value.length}:${caller.value}:$key"
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
        }

        val RETRY_WAIT = 200.milliseconds
        val log = LogManager.getLogger(ClaimStore::class.java)
    }
}

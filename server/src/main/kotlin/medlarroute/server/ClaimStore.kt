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

/** Whose an idempotency key is. */
internal sealed interface ClaimResult {
    /** The key belongs to the submission that was named in the claim; no other will ever get it. */
    data object Claimed : ClaimResult

    /** The key belongs to [submission], whose home answers. */
    data class Taken(val submission: SubmissionId) : ClaimResult

    /**
     * The platform did not tell in time, so nothing is started now. The claim may still take effect; a later request
     * with the key then starts the submission at its home, once.
     */
    data object Unknown : ClaimResult
}

/** Row of a claim. [expiresAtEpochMs] tells the platform when the row may be deleted. */
@Serializable
internal data class ClaimRow(val submission: String, val nonce: String, val expiresAtEpochMs: Long)

/**
 * Claims idempotency keys by inserting a row for each caller and key.
 *
 * While a transaction is under way, further claims wait and go together into the next one, so that an instance has at
 * most one transaction open. A claim whose write conflicts or whose reply was lost is settled by reading its row.
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
        val until: TimeSource.Monotonic.ValueTimeMark,
    ) {
        val result = CompletableFuture<ClaimResult>()
    }

    private val waiting = ArrayDeque<Claim>()
    private val open = HashMap<String, Claim>()
    private var writing = false

    /** Claims [key] of [caller] for [submission]. Never completes exceptionally. */
    fun claim(caller: CallerId, key: String, submission: SubmissionId): CompletableFuture<ClaimResult> {
        if (platform == null) return CompletableFuture.completedFuture(ClaimResult.Unknown)
        val expiresAtEpochMs = epochMs() + retention.inWholeMilliseconds
        val row = ClaimRow(submission.toString(), UUID.randomUUID().toString(), expiresAtEpochMs)
        val claim = Claim(rowKey(caller, key), submission, row, TimeSource.Monotonic.markNow() + limit)
        val earlier = enqueue(claim)
        if (earlier != null) return earlier.result.thenApply { joined(earlier, it) }
        claim.result.whenComplete { _, _ -> forget(claim) }
        claim.result.completeOnTimeout(ClaimResult.Unknown, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        writeNext()
        return claim.result
    }

    /** The second of two claims for one key gets the submission of the first. */
    private fun joined(earlier: Claim, result: ClaimResult): ClaimResult =
        if (result is ClaimResult.Claimed) ClaimResult.Taken(earlier.submission) else result

    @Synchronized
    private fun enqueue(claim: Claim): Claim? {
        open[claim.key]?.let { return it }
        open[claim.key] = claim
        waiting += claim
        return null
    }

    @Synchronized
    private fun forget(claim: Claim) {
        open.remove(claim.key, claim)
    }

    @Synchronized
    private fun nextBatch(): List<Claim> {
        if (writing) return emptyList()
        waiting.removeAll { it.result.isDone }
        val batch = waiting.take(MAX_BATCH)
        repeat(batch.size) { waiting.removeFirst() }
        writing = batch.isNotEmpty()
        return batch
    }

    @Synchronized
    private fun written() {
        writing = false
    }

    private fun writeNext() {
        val batch = nextBatch()
        if (batch.isEmpty()) return
        val rows = batch.map { NewRow(it.key, Json.encodeToJsonElement(ClaimRow.serializer(), it.row)) }
        checkNotNull(platform).insertAll(CLAIMS_TABLE, rows).whenComplete { result, _ ->
            written()
            if (result is Either.Right) {
                batch.forEach { it.result.complete(ClaimResult.Claimed) }
            } else {
                settle(batch, result)
            }
            writeNext()
        }
    }

    private fun settle(batch: List<Claim>, result: Either<PlatformError, Unit>?) {
        if (result?.leftOrNull() !is PlatformError.ConditionFailed) log.warn("platform: claims failed: {}", result)
        batch.forEach(::settle)
    }

    /** Reads the row, whose nonce decides. If it is still absent it is inserted alone, under the same condition. */
    private fun settle(claim: Claim) {
        if (isOver(claim)) return
        checkNotNull(platform).read(CLAIMS_TABLE, claim.key, ClaimRow.serializer()).thenAccept { read ->
            when (val found = read.getOrNull()) {
                is Fetched.Present -> claim.result.complete(owner(claim, found.value))
                is Fetched.Absent -> insertAlone(claim)
                else -> later { settle(claim) }
            }
        }
    }

    private fun insertAlone(claim: Claim) {
        if (isOver(claim)) return
        checkNotNull(platform).write(CLAIMS_TABLE, claim.key, ClaimRow.serializer(), claim.row, WriteCondition.Absent)
            .thenAccept { result ->
                if (result.isRight()) claim.result.complete(ClaimResult.Claimed) else later { settle(claim) }
            }
    }

    private fun owner(claim: Claim, row: ClaimRow): ClaimResult {
        if (row.nonce == claim.row.nonce) return ClaimResult.Claimed
        return SubmissionId.parseOrNull(row.submission)?.let { ClaimResult.Taken(it) } ?: ClaimResult.Unknown
    }

    private fun isOver(claim: Claim): Boolean {
        if (claim.until.hasPassedNow()) claim.result.complete(ClaimResult.Unknown)
        return claim.result.isDone
    }

    private fun later(step: () -> Unit) {
        val waitMs = Backoff.jittered(RETRY_WAIT, random).inWholeMilliseconds
        CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS).execute(step)
    }

    private companion object {
        const val CLAIMS_TABLE = "claims"
        const val MAX_BATCH = 64

        /** Rows have short keys, callers and idempotency keys any length. The length keeps the two apart. */
        fun rowKey(caller: CallerId, key: String): String {
            val text = "${caller.value.length}:${caller.value}:$key"
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
        }

        val RETRY_WAIT = 200.milliseconds
        val log = LogManager.getLogger(ClaimStore::class.java)
    }
}

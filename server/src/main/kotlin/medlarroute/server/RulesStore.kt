package medlarroute.server

import arrow.core.Either
import medlarroute.core.Backoff
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.RulesRow
import medlarroute.core.RulesText
import medlarroute.server.RulesSync.Companion.RULES_KEY
import medlarroute.server.RulesSync.Companion.RULES_TABLE
import org.apache.logging.log4j.LogManager
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Outcome of applying rules. */
internal sealed interface ApplyRulesResult {
    /** The text is valid and committed as [version]. */
    data class Accepted(val version: Long) : ApplyRulesResult

    /** Another operator's write came first: [winner] is committed, and the text is not and never will be. */
    data class Conflict(val winner: RulesText) : ApplyRulesResult

    /** The text has errors; nothing was written. */
    data class Invalid(val findings: List<RulesFinding>) : ApplyRulesResult

    /** The platform was unavailable or rejected the request; nothing was written. */
    data class Unavailable(val reason: String) : ApplyRulesResult

    /** The text may be committed as [version], now or later; the nonce in the row shows whether it is. */
    data class UnknownOutcome(val version: Long, val nonce: String) : ApplyRulesResult
}

/**
 * Commits rules by compare-and-set on the platform's row.
 *
 * If the reply to a write is lost, the row is read back and its nonce shows whether the write took effect. If it did
 * not, the same conditional write is retried; at most one of the copies can take effect.
 *
 * @param limit time after which [apply] completes with the outcome known by then.
 */
internal class RulesStore(
    private val platform: PlatformClient?,
    private val sync: RulesSync,
    private val parser: RulesParser,
    private val limit: Duration,
    private val random: Random = Random.Default,
) {
    private class Attempt(
        val row: RulesRow,
        val condition: WriteCondition,
        val deadline: TimeSource.Monotonic.ValueTimeMark,
    ) {
        /** Whether an earlier copy of the write may have taken effect. */
        @Volatile
        var mayHaveTakenEffect = false
    }

    /** Commits [text] if the committed version is still [expectedVersion]; 0 expects that there are no rules yet. */
    fun apply(text: String, expectedVersion: Long): CompletableFuture<ApplyRulesResult> {
        if (platform == null) return completed(ApplyRulesResult.Unavailable("this instance has no platform"))
        val deadline = TimeSource.Monotonic.markNow() + limit
        return when (val parsed = parser.parse(text)) {
            is Either.Left -> completed(ApplyRulesResult.Invalid(parsed.value))

            is Either.Right -> read(platform).thenCompose { read ->
                read.fold({
                    completed(ApplyRulesResult.Unavailable(it.toString()))
                }, { begin(text, expectedVersion, it, deadline) })
            }
        }
    }

    private fun read(platform: PlatformClient) = platform.read(RULES_TABLE, RULES_KEY, RulesRow.serializer())

    private fun begin(
        text: String,
        expectedVersion: Long,
        found: Fetched<RulesRow>,
        deadline: TimeSource.Monotonic.ValueTimeMark,
    ): CompletableFuture<ApplyRulesResult> {
        val row = (found as? Fetched.Present)?.value
        row?.let { sync.offer(RulesText(it.version, it.text)) }
        // If the platform lost a write, the row is older than the version in force; a version must not be reused.
        val version = maxOf(row?.version ?: 0, sync.version)
        if (version != expectedVersion) return completed(conflict(row))
        val nonce = UUID.randomUUID().toString()
        val next = row?.copy(version = version)?.next(text, nonce) ?: RulesRow(version + 1, text, nonce)
        val condition = (found as? Fetched.Present)?.let { WriteCondition.Unchanged(it.etag) } ?: WriteCondition.Absent
        return write(Attempt(next, condition, deadline))
    }

    private fun write(attempt: Attempt): CompletableFuture<ApplyRulesResult> =
        checkNotNull(platform).write(RULES_TABLE, RULES_KEY, RulesRow.serializer(), attempt.row, attempt.condition)
            .thenCompose { result -> result.fold({ failed(attempt, it) }, { completed(accepted(attempt)) }) }

    private fun failed(attempt: Attempt, error: PlatformError): CompletableFuture<ApplyRulesResult> {
        if (error is PlatformError.OutcomeUnknown) attempt.mayHaveTakenEffect = true
        val isNotWritten = error is PlatformError.Unavailable || error is PlatformError.Rejected
        if (isNotWritten && !attempt.mayHaveTakenEffect) {
            return completed(ApplyRulesResult.Unavailable(error.toString()))
        }
        return resolve(attempt)
    }

    /** Reads the row back to find out whether the write took effect. */
    private fun resolve(attempt: Attempt): CompletableFuture<ApplyRulesResult> =
        read(checkNotNull(platform)).thenCompose { read ->
            read.fold({ retry(attempt, ::resolve) }, { resolved(attempt, (it as? Fetched.Present)?.value) })
        }

    private fun resolved(attempt: Attempt, row: RulesRow?): CompletableFuture<ApplyRulesResult> =
        when (row?.hasCommitted(attempt.row.nonce, attempt.row.version)) {
            true -> completed(accepted(attempt))

            false -> completed(conflict(row))

            null -> if (row != null && row.version >= attempt.row.version) {
                completed(unknown(attempt))
            } else {
                retry(attempt, ::write)
            }
        }

    private fun retry(
        attempt: Attempt,
        step: (Attempt) -> CompletableFuture<ApplyRulesResult>,
    ): CompletableFuture<ApplyRulesResult> {
        if (attempt.deadline.hasPassedNow()) return completed(unknown(attempt))
        val waitMs = Backoff.jittered(RETRY_WAIT, random).inWholeMilliseconds
        val later: Executor = CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS)
        return CompletableFuture.supplyAsync({ step(attempt) }, later).thenCompose { it }
    }

    private fun accepted(attempt: Attempt): ApplyRulesResult {
        sync.offer(RulesText(attempt.row.version, attempt.row.text))
        log.info("rules: version {} was committed", attempt.row.version)
        return ApplyRulesResult.Accepted(attempt.row.version)
    }

    private fun conflict(row: RulesRow?): ApplyRulesResult {
        row?.let { sync.offer(RulesText(it.version, it.text)) }
        val known = sync.current
        val winner = row?.let { RulesText(it.version, it.text) }
        return ApplyRulesResult.Conflict(listOfNotNull(winner, known).maxByOrNull { it.version } ?: RulesText(0, ""))
    }

    private fun unknown(attempt: Attempt) = ApplyRulesResult.UnknownOutcome(attempt.row.version, attempt.row.nonce)

    private fun completed(result: ApplyRulesResult): CompletableFuture<ApplyRulesResult> =
        CompletableFuture.completedFuture(result)

    private companion object {
        val RETRY_WAIT = 300.milliseconds
        val log = LogManager.getLogger(RulesStore::class.java)
    }
}

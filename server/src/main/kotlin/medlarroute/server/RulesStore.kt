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

/** What became of rules that an operator applied. */
internal sealed interface RulesApplied {
    /** The text is valid and committed as [version]. */
    data class Accepted(val version: Long) : RulesApplied

    /** Another operator was first: [winner] is committed, and the text is not and will not be. */
    data class Conflict(val winner: RulesText) : RulesApplied

    /** The text has errors; nothing was written. */
    data class Invalid(val findings: List<RulesFinding>) : RulesApplied

    /** The platform could not be reached; nothing was written. */
    data class Unavailable(val reason: String) : RulesApplied

    /** The text may be or may become [version]; the row's nonce will tell. */
    data class UnknownOutcome(val version: Long, val nonce: String) : RulesApplied
}

/**
 * Commits rules by compare-and-set on the platform's row.
 *
 * A write whose reply was lost is settled by its nonce in the row. While the row does not show it, the same conditional
 * write is sent again; at most one of the copies can take effect.
 *
 * @param limit time after which an attempt ends with what is known.
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
        val until: TimeSource.Monotonic.ValueTimeMark,
    ) {
        /** An earlier copy of the write may have taken effect. */
        @Volatile
        var isSent = false
    }

    /** Commits [text] if the committed version is still [expectedVersion]; 0 expects that there are no rules yet. */
    fun apply(text: String, expectedVersion: Long): CompletableFuture<RulesApplied> {
        if (platform == null) return done(RulesApplied.Unavailable("this instance has no platform"))
        val until = TimeSource.Monotonic.markNow() + limit
        return when (val parsed = parser.parse(text)) {
            is Either.Left -> done(RulesApplied.Invalid(parsed.value))

            is Either.Right -> read(platform).thenCompose { read ->
                read.fold({
                    done(RulesApplied.Unavailable(it.toString()))
                }, { begin(text, expectedVersion, it, until) })
            }
        }
    }

    private fun read(platform: PlatformClient) = platform.read(RULES_TABLE, RULES_KEY, RulesRow.serializer())

    private fun begin(
        text: String,
        expectedVersion: Long,
        found: Fetched<RulesRow>,
        until: TimeSource.Monotonic.ValueTimeMark,
    ): CompletableFuture<RulesApplied> {
        val row = (found as? Fetched.Present)?.value
        row?.let { sync.offer(RulesText(it.version, it.text)) }
        // The row may be older than the version in force if the platform has lost a write; versions must not repeat.
        val version = maxOf(row?.version ?: 0, sync.version)
        if (version != expectedVersion) return done(conflict(row))
        val nonce = UUID.randomUUID().toString()
        val next = row?.copy(version = version)?.next(text, nonce) ?: RulesRow(version + 1, text, nonce)
        val condition = (found as? Fetched.Present)?.let { WriteCondition.Unchanged(it.etag) } ?: WriteCondition.Absent
        return write(Attempt(next, condition, until))
    }

    private fun write(attempt: Attempt): CompletableFuture<RulesApplied> =
        checkNotNull(platform).write(RULES_TABLE, RULES_KEY, RulesRow.serializer(), attempt.row, attempt.condition)
            .thenCompose { result -> result.fold({ failed(attempt, it) }, { done(accepted(attempt)) }) }

    private fun failed(attempt: Attempt, error: PlatformError): CompletableFuture<RulesApplied> {
        if (error is PlatformError.OutcomeUnknown) attempt.isSent = true
        val isHopeless = error is PlatformError.Unavailable || error is PlatformError.Rejected
        if (isHopeless && !attempt.isSent) return done(RulesApplied.Unavailable(error.toString()))
        return settle(attempt)
    }

    /** Reads the row back to find out whether the write took effect. */
    private fun settle(attempt: Attempt): CompletableFuture<RulesApplied> =
        read(checkNotNull(platform)).thenCompose { read ->
            read.fold({ retry(attempt, ::settle) }, { settled(attempt, (it as? Fetched.Present)?.value) })
        }

    private fun settled(attempt: Attempt, row: RulesRow?): CompletableFuture<RulesApplied> =
        when (row?.hasCommitted(attempt.row.nonce, attempt.row.version)) {
            true -> done(accepted(attempt))

            false -> done(conflict(row))

            null -> if (row != null && row.version >= attempt.row.version) {
                done(unknown(attempt))
            } else {
                retry(attempt, ::write)
            }
        }

    private fun retry(
        attempt: Attempt,
        step: (Attempt) -> CompletableFuture<RulesApplied>,
    ): CompletableFuture<RulesApplied> {
        if (attempt.until.hasPassedNow()) return done(unknown(attempt))
        val waitMs = Backoff.jittered(RETRY_WAIT, random).inWholeMilliseconds
        val later: Executor = CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS)
        return CompletableFuture.supplyAsync({ step(attempt) }, later).thenCompose { it }
    }

    private fun accepted(attempt: Attempt): RulesApplied {
        sync.offer(RulesText(attempt.row.version, attempt.row.text))
        log.info("rules: version {} was committed", attempt.row.version)
        return RulesApplied.Accepted(attempt.row.version)
    }

    private fun conflict(row: RulesRow?): RulesApplied {
        row?.let { sync.offer(RulesText(it.version, it.text)) }
        val known = sync.current
        val winner = row?.let { RulesText(it.version, it.text) }
        return RulesApplied.Conflict(listOfNotNull(winner, known).maxByOrNull { it.version } ?: RulesText(0, ""))
    }

    private fun unknown(attempt: Attempt) = RulesApplied.UnknownOutcome(attempt.row.version, attempt.row.nonce)

    private fun done(result: RulesApplied): CompletableFuture<RulesApplied> = CompletableFuture.completedFuture(result)

    private companion object {
        val RETRY_WAIT = 300.milliseconds
        val log = LogManager.getLogger(RulesStore::class.java)
    }
}

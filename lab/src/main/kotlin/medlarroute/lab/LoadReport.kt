package medlarroute.lab

import org.HdrHistogram.Histogram
import java.util.Locale

/** Final outcome of a submission of the load generator. */
enum class LoadOutcome {
    /** A complete answer with the correct outputs. */
    COMPLETE,

    /** A reported failure; the job may have run. */
    FAILED,

    /** A refusal; the job has not run. */
    REFUSED,

    /** No attempt to send the request got an answer. */
    MISSING,

    /** An answer that is partial, has wrong outputs or belongs to another request. */
    WRONG,

    /** No ticket could be opened, so nothing was sent. */
    NOT_SENT,
}

/**
 * Result of a run of the load generator.
 *
 * @property codes number of failures and refusals by code.
 * @property latencies latencies of complete answers in microseconds, from the planned arrival to the first answer. They
 * include the delay of a request that is sent late, which avoids coordinated omission.
 * @property replays outcomes of the submissions that were sent again at the end.
 */
class LoadReport(
    val outcomes: Map<LoadOutcome, Int>,
    val codes: Map<String, Int>,
    val latencies: Histogram,
    val replays: Map<LoadOutcome, Int> = emptyMap(),
) {
    fun count(outcome: LoadOutcome): Int = outcomes[outcome] ?: 0

    /** The report as text of several lines. */
    override fun toString(): String {
        val counts = LoadOutcome.entries.joinToString(" ") { "${it.name.lowercase()}=${count(it)}" }
        val reasons = codes.entries.sortedBy { it.key }.joinToString(" ") { "${it.key}=${it.value}" }
        val times = PERCENTILES.joinToString(" ") { "p$it=${milliseconds(latencies.getValueAtPercentile(it))}" }
        val max = milliseconds(latencies.maxValue)
        val replayed =
            replays.entries.sortedBy { it.key }.joinToString(" ") { "${it.key.name.lowercase()}=${it.value}" }
        return "jobs $counts\ncodes $reasons\nreplays $replayed\ncomplete answers, ms $times max=$max"
    }

    private fun milliseconds(microseconds: Long) = String.format(Locale.ROOT, "%.1f", microseconds / US_PER_MS)

    private companion object {
        val PERCENTILES = listOf(50.0, 90.0, 99.0, 99.9)
        const val US_PER_MS = 1_000.0
    }
}

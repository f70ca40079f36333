package medlarroute.core

import java.util.TreeMap
import kotlin.time.Duration

/** Record of one submission. [answer] is null while the job runs and after the answer was dropped. */
internal class SubmissionRecord(val ticket: TicketRecords, val sequence: Long, val digest: Long) {
    var ended = false
    var answer: Answer? = null
    var answerBytes = 0L
}

/**
 * Records of one ticket: every sequence up to [lowWaterSequence] was handled, those above it are in [records] or were
 * never seen.
 */
internal class TicketRecords(val id: TicketId, val caller: CallerId, var usedAt: Duration) {
    val records = TreeMap<Long, SubmissionRecord>()
    var lowWaterSequence = 0L
        private set

    /** A refused sequence must never begin later, or the refusal's "not run" would become false. */
    var closed = false

    val isIdle: Boolean get() = records.values.all { it.ended }

    /**
     * Raises the low-water mark to [sequence] and gives up the records below; all or nothing, since the record of a
     * running submission must stay. Returns the records given up, or null if one of them still runs.
     */
    fun raiseLowWater(sequence: Long): List<SubmissionRecord>? {
        if (sequence <= lowWaterSequence) return emptyList()
        val below = records.headMap(sequence, true)
        if (below.values.any { !it.ended }) return null
        val givenUp = below.values.toList()
        below.clear()
        lowWaterSequence = sequence
        return givenUp
    }
}

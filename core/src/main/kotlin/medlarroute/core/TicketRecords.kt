package medlarroute.core

import java.util.TreeMap
import kotlin.time.Duration

/** Record of one submission. [answer] is null while the job runs and after the answer was evicted. */
internal class SubmissionRecord(val ticket: TicketRecords, val sequence: Long, val digest: Long) {
    var ended = false
    var answer: Answer? = null
    var answerBytes = 0L
}

/**
 * Records of one ticket: every sequence up to [lowWaterSequence] was handled or can't begin any more; those above it
 * are in [records] or have not begun.
 */
internal class TicketRecords(val id: TicketId, val caller: CallerId, var usedAt: Duration) {
    val records = TreeMap<Long, SubmissionRecord>()
    var lowWaterSequence = 0L
        private set

    /** Set for good when a sequence is refused: if it began later, the refusal's "not run" would become false. */
    var closed = false

    val isIdle: Boolean get() = records.values.all { it.ended }

    /**
     * Raises the low-water mark to [sequence], evicts the records up to it and returns them. Does nothing and returns
     * null if one of these submissions is still running, as its record must stay.
     */
    fun raiseLowWater(sequence: Long): List<SubmissionRecord>? {
        if (sequence <= lowWaterSequence) return emptyList()
        val below = records.headMap(sequence, true)
        if (below.values.any { !it.ended }) return null
        val evicted = below.values.toList()
        below.clear()
        lowWaterSequence = sequence
        return evicted
    }
}

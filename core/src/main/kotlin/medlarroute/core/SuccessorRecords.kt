package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Records that stopped homes have handed over to this instance. Answers are only replayed; no submission begins here.
 *
 * Records are kept for the retention time after they were added. Thread-safe.
 */
public class SuccessorRecords(
    private val settings: RegistrySettings,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class HomeRecords(val export: RegistryExport, val addedAt: Duration) {
        val tickets = export.tickets.associateBy { it.id }
        val records = export.tickets.associate { ticket -> ticket.id to ticket.records.associateBy { it.sequence } }
    }

    private val origin = clock.markNow()
    private val byHome = HashMap<SubmissionRegistry.Home, HomeRecords>()

    /** Adds the records of [export]; replaces earlier records of the same home. */
    @Synchronized
    public fun add(export: RegistryExport) {
        removeExpired()
        byHome[export.home] = HomeRecords(export, origin.elapsedNow())
    }

    /** Homes whose records are held. */
    @Synchronized
    public fun homes(): Set<SubmissionRegistry.Home> {
        removeExpired()
        return byHome.keys.toSet()
    }

    /**
     * State of [submission] of [caller] according to its home; null if the records of the home are not held. A null
     * [digest] is not compared.
     */
    @Synchronized
    public fun lookup(submission: SubmissionId, caller: CallerId, digest: Long?): Lookup? {
        removeExpired()
        val id = submission.ticket
        val homeRecords = byHome[id.home] ?: return null
        // A ticket that the home removed before it stopped is not in the export: its submissions were handled.
        val ticket = homeRecords.tickets[id] ?: return Lookup.Expired
        if (ticket.caller != caller) return Lookup.UnknownTicket
        val record = homeRecords.records[id]?.get(submission.sequence)
        return if (record == null) lookupOfUnseen(ticket, submission.sequence) else lookupOf(record, digest)
    }

    private fun lookupOfUnseen(ticket: ExportedTicket, sequence: Long): Lookup =
        if (sequence <= ticket.lowWaterSequence) Lookup.Expired else Lookup.Closed("the home of the ticket has stopped")

    private fun lookupOf(record: ExportedRecord, digest: Long?): Lookup {
        if (digest != null && digest != record.digest) return Lookup.DigestMismatch
        return record.answer?.let { Lookup.Answered(it) } ?: Lookup.Expired
    }

    private fun removeExpired() {
        val oldest = origin.elapsedNow() - settings.retentionMs.milliseconds
        byHome.values.removeIf { it.addedAt < oldest }
    }
}

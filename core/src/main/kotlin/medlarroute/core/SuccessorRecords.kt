package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Records that stopped homes have handed to this instance. It only replays answers and never begins a submission.
 *
 * Records are kept for the retention time after they were added. Thread-safe.
 */
public class SuccessorRecords(
    private val settings: RegistrySettings,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Held(val export: RegistryExport, val addedAt: Duration) {
        val tickets = export.tickets.associateBy { it.id }
        val records = export.tickets.associate { ticket -> ticket.id to ticket.records.associateBy { it.sequence } }
    }

    private val origin = clock.markNow()
    private val byHome = HashMap<SubmissionRegistry.Home, Held>()

    /** Takes over the records of [export]; replaces earlier records of the same home. */
    @Synchronized
    public fun add(export: RegistryExport) {
        dropOld()
        byHome[export.home] = Held(export, origin.elapsedNow())
    }

    /** Homes whose records are held. */
    @Synchronized
    public fun homes(): Set<SubmissionRegistry.Home> {
        dropOld()
        return byHome.keys.toSet()
    }

    /**
     * What the home would say about [submission] of [caller]; null if the home's records are not held. A null [digest]
     * only asks for the state.
     */
    @Synchronized
    public fun lookup(submission: SubmissionId, caller: CallerId, digest: Long?): Lookup? {
        dropOld()
        val id = submission.ticket
        val held = byHome[id.home] ?: return null
        // A ticket that the home dropped before it stopped is not in the export: its submissions were handled.
        val ticket = held.tickets[id] ?: return Lookup.Expired
        if (ticket.caller != caller) return Lookup.UnknownTicket
        val record = held.records[id]?.get(submission.sequence)
        return if (record == null) unseen(ticket, submission.sequence) else known(record, digest)
    }

    private fun unseen(ticket: ExportedTicket, sequence: Long): Lookup =
        if (sequence <= ticket.lowWaterSequence) Lookup.Expired else Lookup.Closed("the home of the ticket has stopped")

    private fun known(record: ExportedRecord, digest: Long?): Lookup {
        if (digest != null && digest != record.digest) return Lookup.DigestMismatch
        return record.answer?.let { Lookup.Answered(it) } ?: Lookup.Expired
    }

    private fun dropOld() {
        val oldest = origin.elapsedNow() - settings.retentionMs.milliseconds
        byHome.values.removeIf { it.addedAt < oldest }
    }
}

package medlarroute.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Settings of the submission registry.
 *
 * @property windowSequences sequences above the low-water mark that a ticket keeps records of.
 * @property retentionMs how long a ticket is kept after its last use.
 * @property maxTickets tickets kept at once; beyond it, opening a ticket fails.
 * @property answerBudgetBytes memory for recorded answers; the oldest are dropped first.
 */
@Serializable
public data class RegistrySettings(
    @Setting("Sequences of a ticket whose records are kept", min = 1.0)
    public val windowSequences: Int = 1_000,
    @Setting("Time for which an unused ticket is kept", min = 1000.0)
    public val retentionMs: Long = 900_000,
    @Setting("Tickets kept at once", min = 1.0)
    public val maxTickets: Int = 10_000,
    @Setting("Memory for recorded answers; the oldest are dropped first", min = 1024.0)
    public val answerBudgetBytes: Long = 33_554_432,
)

/** What the registry says about a submission that has arrived. */
public sealed interface Lookup {
    /** Never seen before; the caller of the registry must start the job and later record its answer. */
    public data object New : Lookup

    /** The job runs; its answer will be recorded. */
    public data object Running : Lookup

    /** The job has ended with [answer]. */
    public data class Answered(public val answer: Answer) : Lookup

    /** The submission was handled before; its answer is no longer kept. */
    public data object Expired : Lookup

    /** The same id was used with another request. */
    public data object DigestMismatch : Lookup

    /** The ticket takes no new submission and has never seen this one; nothing was run. */
    public data class Closed(public val reason: String) : Lookup

    /** This registry never issued the ticket, or it belongs to another caller; nothing was run. */
    public data object UnknownTicket : Lookup
}

/**
 * Records of the submissions whose home is this incarnation of this instance.
 *
 * A submission is reported as [Lookup.New] at most once, whatever happens to its record or answer. Thread-safe; every
 * call holds one lock for a short time.
 */
public class SubmissionRegistry(
    private val home: Home,
    private val settings: RegistrySettings,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The instance whose tickets the registry issues. */
    public data class Home(
        public val failureDomain: FailureDomainId,
        public val instance: InstanceId,
        public val incarnation: Incarnation,
    )

    private class Record(val digest: Long) {
        var ended = false
        var answer: Answer? = null
    }

    private class Ticket(val caller: CallerId, var usedAt: Duration) {
        var lowWaterSequence = 0L
        val records = HashMap<Long, Record>()

        /** A refused sequence must never begin later, or the refusal's "not run" would become false. */
        var closed = false
    }

    private val origin = clock.markNow()
    private val tickets = LinkedHashMap<Long, Ticket>()
    private val answers = LinkedHashMap<SubmissionId, Long>()
    private var answerBytes = 0L
    private var lastSessionNumber = 0L
    private var sealed = false

    /** Issues a ticket to [caller]; null if sealed or if there are [RegistrySettings.maxTickets] live tickets. */
    @Synchronized
    public fun openTicket(caller: CallerId): TicketId? {
        dropIdleTickets()
        if (sealed || tickets.size >= settings.maxTickets) return null
        val sessionNumber = ++lastSessionNumber
        tickets[sessionNumber] = Ticket(caller, origin.elapsedNow())
        return TicketId(home.failureDomain, home.instance, home.incarnation, sessionNumber)
    }

    /** Looks up [submission] of [caller] and, if it is new, records that it now runs. */
    @Synchronized
    public fun begin(submission: SubmissionId, caller: CallerId, digest: Long): Lookup {
        val ticket = when (val found = find(submission.ticket, caller)) {
            is Found.Live -> found.ticket
            is Found.Not -> return found.lookup
        }
        ticket.usedAt = origin.elapsedNow()
        val record = ticket.records[submission.sequence]
        return if (record != null) known(record, digest) else beginUnseen(ticket, submission.sequence, digest)
    }

    private fun beginUnseen(ticket: Ticket, sequence: Long, digest: Long): Lookup {
        if (sequence <= ticket.lowWaterSequence) return Lookup.Expired
        if (sealed) return Lookup.Closed("the instance is stopping")
        if (!ticket.closed && !makeRoom(ticket, sequence)) ticket.closed = true
        if (ticket.closed) return Lookup.Closed("the window of the ticket was full")
        ticket.records[sequence] = Record(digest)
        return Lookup.New
    }

    /** Looks up [submission] of [caller] without changing anything; null if it was never seen and could still begin. */
    @Synchronized
    public fun peek(submission: SubmissionId, caller: CallerId): Lookup? {
        val ticket = when (val found = find(submission.ticket, caller)) {
            is Found.Live -> found.ticket
            is Found.Not -> return found.lookup
        }
        val record = ticket.records[submission.sequence]
        if (record != null) return known(record, record.digest)
        return if (submission.sequence <= ticket.lowWaterSequence) Lookup.Expired else null
    }

    /** Records the answer of a submission that [begin] reported as new. */
    @Synchronized
    public fun end(submission: SubmissionId, answer: Answer) {
        val record = tickets[submission.ticket.sessionNumber]?.records?.get(submission.sequence) ?: return
        if (record.ended) return
        record.ended = true
        record.answer = answer
        val sizeBytes = sizeBytes(answer)
        answers[submission] = sizeBytes
        answerBytes += sizeBytes
        dropOldestAnswers()
    }

    /** Takes no new ticket and no new submission from now on. Running submissions can still end. */
    @Synchronized
    public fun seal() {
        sealed = true
    }

    /** Copies all tickets and records for a successor. Call after [seal] and after all submissions have ended. */
    @Synchronized
    public fun export(): RegistryExport {
        check(sealed) { "only a sealed registry has complete records" }
        return RegistryExport(home, tickets.map { (sessionNumber, ticket) -> exported(sessionNumber, ticket) })
    }

    private fun exported(sessionNumber: Long, ticket: Ticket): ExportedTicket {
        val id = TicketId(home.failureDomain, home.instance, home.incarnation, sessionNumber)
        val records = ticket.records.map { (sequence, record) ->
            ExportedRecord(sequence, record.digest, record.answer)
        }
        return ExportedTicket(id, ticket.caller, ticket.lowWaterSequence, records)
    }

    private fun known(record: Record, digest: Long): Lookup {
        if (record.digest != digest) return Lookup.DigestMismatch
        if (!record.ended) return Lookup.Running
        return record.answer?.let { Lookup.Answered(it) } ?: Lookup.Expired
    }

    private sealed interface Found {
        class Live(val ticket: Ticket) : Found

        class Not(val lookup: Lookup) : Found
    }

    private fun find(id: TicketId, caller: CallerId): Found {
        if (id.instance != home.instance || id.incarnation != home.incarnation) return Found.Not(Lookup.Expired)
        if (id.sessionNumber > lastSessionNumber) return Found.Not(Lookup.UnknownTicket)
        val ticket = tickets[id.sessionNumber] ?: return Found.Not(Lookup.Expired)
        return if (ticket.caller == caller) Found.Live(ticket) else Found.Not(Lookup.UnknownTicket)
    }

    /** Raises the low-water mark until [sequence] fits the window; only ended records are given up. */
    private fun makeRoom(ticket: Ticket, sequence: Long): Boolean {
        val lowWaterSequence = sequence - settings.windowSequences
        if (lowWaterSequence <= ticket.lowWaterSequence) return true
        val givenUp = ticket.records.filterKeys { it <= lowWaterSequence }
        if (givenUp.values.any { !it.ended }) return false
        givenUp.keys.forEach { forget(ticket, it) }
        ticket.lowWaterSequence = lowWaterSequence
        return true
    }

    private fun forget(ticket: Ticket, sequence: Long) {
        ticket.records.remove(sequence)
        val submission = answers.keys.firstOrNull {
            it.sequence == sequence &&
                tickets[it.ticket.sessionNumber] === ticket
        }
        submission?.let { answerBytes -= answers.remove(it) ?: 0 }
    }

    private fun dropOldestAnswers() {
        val oldest = answers.entries.iterator()
        while (answerBytes > settings.answerBudgetBytes && oldest.hasNext()) {
            val (submission, sizeBytes) = oldest.next()
            tickets[submission.ticket.sessionNumber]?.records?.get(submission.sequence)?.answer = null
            answerBytes -= sizeBytes
            oldest.remove()
        }
    }

    private fun dropIdleTickets() {
        val idleSince = origin.elapsedNow() - settings.retentionMs.milliseconds
        tickets.values.removeIf { ticket -> ticket.usedAt < idleSince && ticket.records.values.all { it.ended } }
    }

    private fun sizeBytes(answer: Answer): Long =
        when (answer) {
            is Answer.Complete -> answer.outputs.sumOf { it.length.toLong() + OUTPUT_OVERHEAD_BYTES }
            is Answer.Failed -> answer.detail.length + OUTPUT_OVERHEAD_BYTES
            is Answer.Refused -> answer.findings.sumOf { it.message.length + OUTPUT_OVERHEAD_BYTES }
        }

    private companion object {
        const val OUTPUT_OVERHEAD_BYTES = 64L
    }
}

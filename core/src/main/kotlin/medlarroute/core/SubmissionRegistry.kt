package medlarroute.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Settings of the submission registry.
 *
 * @property windowSequences largest distance of a sequence from the low-water mark of its ticket.
 * @property retentionMs how long a ticket is kept after its last use.
 * @property maxTickets tickets kept at once; if there are as many, no further ticket is issued.
 * @property maxTicketsPerCaller tickets of one caller kept at once, so that one caller can't use up all of them.
 * @property maxRecords records kept at once; the oldest ended ones are dropped first.
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
    @Setting("Tickets of one caller kept at once", min = 1.0)
    public val maxTicketsPerCaller: Int = 1_000,
    @Setting("Records of submissions kept at once, over all tickets", min = 1.0)
    public val maxRecords: Int = 100_000,
    @Setting("Memory for recorded answers; the oldest are dropped first", min = 1024.0)
    public val answerBudgetBytes: Long = 33_554_432,
)

/** State of a submission in the registry. */
public sealed interface Lookup {
    /** The submission is new; the caller of the registry must start the job and later record its answer. */
    public data object New : Lookup

    /** The job is running; its answer will be recorded. */
    public data object Running : Lookup

    /** The job has ended with [answer]. */
    public data class Answered(public val answer: Answer) : Lookup

    /** The submission was handled before; its answer is no longer kept. */
    public data object Expired : Lookup

    /** The same id was used with a different request. */
    public data object DigestMismatch : Lookup

    /** The submission never began, and the ticket will never accept it; no task was started. */
    public data class Closed(public val reason: String) : Lookup

    /** This registry never issued the ticket, or it belongs to another caller; no task was started. */
    public data object UnknownTicket : Lookup
}

/**
 * Records of the submissions whose home is this incarnation of this instance.
 *
 * A submission is reported as [Lookup.New] at most once, even after its record or answer was evicted. Memory is bounded
 * by [RegistrySettings]; submissions whose record or answer was evicted are reported as [Lookup.Expired]. Thread-safe;
 * every call holds one lock for a short time.
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

    private val origin = clock.markNow()

    /** Tickets by session number, the least recently used first. */
    private val tickets = LinkedHashMap<Long, TicketRecords>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val ticketsByCaller = HashMap<CallerId, Int>()

    /** Ended records in the order in which they ended. */
    private val ended = LinkedHashSet<SubmissionRecord>()

    /** The records of [ended] that still have their answer. */
    private val answered = LinkedHashSet<SubmissionRecord>()
    private var answerBytes = 0L
    private var recordCount = 0
    private var lastSessionNumber = 0L
    private var sealed = false

    /** Issues a ticket to [caller]; null if the registry is sealed or a limit on tickets is reached. */
    @Synchronized
    public fun openTicket(caller: CallerId): TicketId? {
        removeIdleTickets()
        val callerTickets = ticketsByCaller.getOrDefault(caller, 0)
        if (sealed || tickets.size >= settings.maxTickets || callerTickets >= settings.maxTicketsPerCaller) return null
        val sessionNumber = ++lastSessionNumber
        val id = TicketId(home.failureDomain, home.instance, home.incarnation, sessionNumber)
        tickets[sessionNumber] = TicketRecords(id, caller, origin.elapsedNow())
        ticketsByCaller[caller] = callerTickets + 1
        return id
    }

    /** Looks up [submission] of [caller] and, if it is new, records it as running. */
    @Synchronized
    public fun begin(submission: SubmissionId, caller: CallerId, digest: Long): Lookup {
        val ticket = when (val found = findTicket(submission.ticket, caller)) {
            is TicketLookup.Present -> found.ticket
            is TicketLookup.Absent -> return found.lookup
        }
        ticket.usedAt = origin.elapsedNow()
        val record = ticket.records[submission.sequence]
        return if (record != null) lookupOf(record, digest) else beginUnseen(ticket, submission.sequence, digest)
    }

    /** Looks up [submission] of [caller] without changing anything; null if it has not begun and still could. */
    @Synchronized
    public fun peek(submission: SubmissionId, caller: CallerId): Lookup? {
        val ticket = when (val found = findTicket(submission.ticket, caller)) {
            is TicketLookup.Present -> found.ticket
            is TicketLookup.Absent -> return found.lookup
        }
        val record = ticket.records[submission.sequence]
        if (record != null) return lookupOf(record, record.digest)
        return if (submission.sequence <= ticket.lowWaterSequence) Lookup.Expired else null
    }

    /** Records the answer of a submission that [begin] reported as new. Later answers are ignored. */
    @Synchronized
    public fun end(submission: SubmissionId, answer: Answer) {
        val record = tickets[submission.ticket.sessionNumber]?.records?.get(submission.sequence) ?: return
        if (submission.ticket != record.ticket.id || record.ended) return
        record.ended = true
        record.answer = answer
        record.answerBytes = sizeBytes(answer)
        ended += record
        answered += record
        answerBytes += record.answerBytes
        evictOldestAnswers()
        evictOldestRecords()
    }

    /** Stops accepting new tickets and submissions. Running submissions can still end. */
    @Synchronized
    public fun seal() {
        sealed = true
    }

    /** Copies all tickets and records for a successor. Call after [seal] and after all submissions have ended. */
    @Synchronized
    public fun export(): RegistryExport {
        check(sealed) { "only a sealed registry has complete records" }
        return RegistryExport(home, tickets.values.map(::exported))
    }

    private fun exported(ticket: TicketRecords): ExportedTicket {
        val records = ticket.records.values.map { ExportedRecord(it.sequence, it.digest, it.answer) }
        return ExportedTicket(ticket.id, ticket.caller, ticket.lowWaterSequence, records)
    }

    private fun beginUnseen(ticket: TicketRecords, sequence: Long, digest: Long): Lookup {
        if (sequence <= ticket.lowWaterSequence) return Lookup.Expired
        if (sealed) return Lookup.Closed("the instance is stopping")
        if (!ticket.closed && !advanceWindow(ticket, sequence)) ticket.closed = true
        if (ticket.closed) return Lookup.Closed("the window of the ticket was full")
        ticket.records[sequence] = SubmissionRecord(ticket, sequence, digest)
        recordCount++
        return Lookup.New
    }

    private fun lookupOf(record: SubmissionRecord, digest: Long): Lookup {
        if (record.digest != digest) return Lookup.DigestMismatch
        if (!record.ended) return Lookup.Running
        return record.answer?.let { Lookup.Answered(it) } ?: Lookup.Expired
    }

    private sealed interface TicketLookup {
        class Present(val ticket: TicketRecords) : TicketLookup

        class Absent(val lookup: Lookup) : TicketLookup
    }

    private fun findTicket(id: TicketId, caller: CallerId): TicketLookup {
        if (id.home != home) return TicketLookup.Absent(Lookup.Expired)
        if (id.sessionNumber > lastSessionNumber) return TicketLookup.Absent(Lookup.UnknownTicket)
        val ticket = tickets[id.sessionNumber] ?: return TicketLookup.Absent(Lookup.Expired)
        return if (ticket.caller == caller) TicketLookup.Present(ticket) else TicketLookup.Absent(Lookup.UnknownTicket)
    }

    private fun advanceWindow(ticket: TicketRecords, sequence: Long): Boolean {
        val evicted = ticket.raiseLowWater(sequence - settings.windowSequences) ?: return false
        evicted.forEach(::evict)
        return true
    }

    private fun evict(record: SubmissionRecord) {
        recordCount--
        ended -= record
        evictAnswer(record)
    }

    private fun evictAnswer(record: SubmissionRecord) {
        if (!answered.remove(record)) return
        answerBytes -= record.answerBytes
        record.answer = null
    }

    private fun evictOldestAnswers() {
        while (answerBytes > settings.answerBudgetBytes) evictAnswer(answered.first())
    }

    /** Skips a record if an earlier submission of its ticket is still running. */
    private fun evictOldestRecords() {
        if (recordCount <= settings.maxRecords) return
        for (record in ended.take(recordCount - settings.maxRecords)) {
            if (record in ended) record.ticket.raiseLowWater(record.sequence)?.forEach(::evict)
        }
    }

    private fun removeIdleTickets() {
        val idleSince = origin.elapsedNow() - settings.retentionMs.milliseconds
        val leastRecentlyUsed = tickets.values.iterator()
        while (leastRecentlyUsed.hasNext()) {
            val ticket = leastRecentlyUsed.next()
            if (ticket.usedAt >= idleSince) return
            if (!ticket.isIdle) continue
            leastRecentlyUsed.remove()
            ticket.records.values.forEach(::evict)
            ticketsByCaller.computeIfPresent(ticket.caller) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private fun sizeBytes(answer: Answer): Long =
        when (answer) {
            is Answer.Complete -> answer.outputs.sumOf { it.length.toLong() + OUTPUT_OVERHEAD_BYTES }
            is Answer.Failed -> answer.detail.length + OUTPUT_OVERHEAD_BYTES
            is Answer.Refused -> answer.findings.sumOf { it.message.length + OUTPUT_OVERHEAD_BYTES }
        }

    private companion object {
        const val OUTPUT_OVERHEAD_BYTES = 64L
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

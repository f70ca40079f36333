package medlarroute.core

/** Tickets and records of a sealed [SubmissionRegistry]. */
public data class RegistryExport(
    public val home: SubmissionRegistry.Home,
    public val tickets: List<ExportedTicket>,
)

/** A ticket with the records above its low-water mark. */
public data class ExportedTicket(
    public val id: TicketId,
    public val caller: CallerId,
    public val lowWaterSequence: Long,
    public val records: List<ExportedRecord>,
)

/** Record of one submission; [answer] is null if it is no longer kept or the job had not ended. */
public data class ExportedRecord(
    public val sequence: Long,
    public val digest: Long,
    public val answer: Answer?,
)

package medlarroute.core

/**
 * A ticket names its home: the entry instance that issued it, the only one that may start tasks of its submissions.
 *
 * The text form is `failureDomain.instance.incarnation.session`, for example `north.e1.k3x9.42`; the last two fields
 * are base 36. Failure domain and instance names contain no dot and no slash.
 */
public data class TicketId(
    public val failureDomain: FailureDomainId,
    public val instance: InstanceId,
    public val incarnation: Incarnation,
    public val sessionNumber: Long,
) {
    /** The incarnation that issued the ticket. */
    public val home: SubmissionRegistry.Home get() = SubmissionRegistry.Home(failureDomain, instance, incarnation)

    override fun toString(): String = "$failureDomain.$instance.$incarnation.${sessionNumber.toString(RADIX)}"

    public companion object {
        private const val RADIX = 36
        private const val FIELDS = 4

        /** Parses the text form; null if [text] is not a ticket. */
        public fun parseOrNull(text: String): TicketId? {
            val fields = text.split('.')
            if (fields.size != FIELDS || fields.any { it.isEmpty() || '/' in it }) return null
            val incarnation = fields[2].toLongOrNull(RADIX)?.takeIf { it >= 0 } ?: return null
            val sessionNumber = fields[FIELDS - 1].toLongOrNull(RADIX)?.takeIf { it > 0 } ?: return null
            return TicketId(
                FailureDomainId(fields[0]),
                InstanceId(fields[1]),
                Incarnation(incarnation),
                sessionNumber,
            )
        }
    }
}

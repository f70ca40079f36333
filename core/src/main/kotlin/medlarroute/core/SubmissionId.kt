package medlarroute.core

/** Id of a submission: a ticket and a [sequence] that the caller counts from 1. Text form: `<ticket>/<sequence>`. */
public data class SubmissionId(public val ticket: TicketId, public val sequence: Long) {
    override fun toString(): String = "$ticket/$sequence"

    public companion object {
        /** Parses the text form; null if [text] is not a submission id. */
        public fun parseOrNull(text: String): SubmissionId? {
            val slash = text.lastIndexOf('/')
            if (slash < 0) return null
            val ticket = TicketId.parseOrNull(text.substring(0, slash)) ?: return null
            val sequence = text.substring(slash + 1).toLongOrNull()?.takeIf { it > 0 } ?: return null
            return SubmissionId(ticket, sequence)
        }
    }
}

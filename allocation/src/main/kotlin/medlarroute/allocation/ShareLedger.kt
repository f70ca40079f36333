package medlarroute.allocation

/** A queue's guaranteed [share] of the cores of a service, in thousandths of a core, and what it uses. */
public data class QueueShare(val use: QueueUse, val share: Long) {
    public val borrowed: Long get() = (use.used - share).coerceAtLeast(0)

    /** Part of the share that the queue neither uses nor has tasks queued for. */
    public val lent: Long get() = (share - use.used - use.queued).coerceAtLeast(0)
}

/** Shares of one service during a series of starts, each of which counts for the next. Not thread-safe. */
public class ShareLedger internal constructor(shares: List<QueueShare>) {
    private val byQueue = shares.associateByTo(LinkedHashMap()) { it.use.queue }

    public val shares: Collection<QueueShare> get() = byQueue.values

    /** The share of [queue]; null if it is not a queue of the service any more. */
    public fun shareOrNull(queue: String): QueueShare? = byQueue[queue]

    /** Whether a task of [queue] with [demand] would use capacity beyond its share. A former queue has no share. */
    public fun isBorrowing(queue: String, demand: Long): Boolean =
        byQueue[queue]?.let { it.use.used + demand > it.share } ?: true

    /** A queued task of [queue] with [demand] was started. */
    public fun onStarted(queue: String, demand: Long) {
        val old = byQueue[queue] ?: return
        val queued = (old.use.queued - demand).coerceAtLeast(0)
        byQueue[queue] = old.copy(use = old.use.copy(used = old.use.used + demand, queued = queued))
    }
}

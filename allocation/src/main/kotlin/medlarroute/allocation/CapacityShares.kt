package medlarroute.allocation

/**
 * What a queue has and wants of a service, in thousandths of a core.
 *
 * @property used cores of its running tasks.
 * @property queued cores of its tasks that wait for a start.
 */
public data class QueueUse(val queue: String, val priority: Int, val used: Long, val queued: Long)

/**
 * Divides the capacity of a service into guaranteed shares by queue.
 *
 * A queue below its share is served before those that have reached theirs. What it does not use is free for all at
 * once. A task in borrowed capacity is never stopped: once the lender has work, it gets the cores that become free,
 * so that its share is returned within the run time of the tasks that borrowed it. Stateless.
 */
public class CapacityShares(private val settings: ShareSettings) {
    /** Divides [capacity], in thousandths of a core, among all queues of a service; [uses] has each queue once. */
    public fun divide(capacity: Long, uses: Collection<QueueUse>): ShareLedger {
        val weights = uses.sumOf { settings.weight(it.priority) }
        return ShareLedger(
            uses.map { QueueShare(it, (capacity * (settings.weight(it.priority) / weights)).toLong()) },
        )
    }
}

package medlarroute.dispatch

import medlarroute.allocation.CapacityShares
import medlarroute.allocation.QueueUse
import medlarroute.allocation.ShareLedger
import medlarroute.allocation.ShareSettings

/**
 * Whether a task of [job] would use capacity beyond its queue's share. A job that has begun is completed as if it would
 * not, since a partly served job is of no use; its capacity was available to its queue when it began.
 */
internal fun ShareLedger.isBorrowing(job: JobRow): Boolean {
    val demand = job.request.steps.maxOfOrNull { it.demand.cpuMillis } ?: 0
    return !job.everDispatched && isBorrowing(job.queue.id.value, demand.toLong())
}

/**
 * Guaranteed shares of the cores of each service by queue, as of the tasks in the tables.
 *
 * Only queues with running or queued tasks have shares: a configuration may have many more, whose unused shares would
 * leave next to nothing to the others, and whose number must not matter for the cost of a placement pass.
 */
internal class QueueSharing(settings: ShareSettings, private val tables: DispatchTables) {
    private val shares = CapacityShares(settings)

    /** @param applicant queue for a job of which the ledger is asked, if it has no tasks yet. */
    fun ledger(service: ServiceId, nowMs: Long, applicant: QueueId? = null): ShareLedger {
        var capacity = 0L
        val used = HashMap<QueueId, Long>()
        for (row in tables.backends.values) {
            if (row.info.service != service) continue
            if (row.isServing(nowMs)) capacity += row.info.capacity.cpuMillis
            for (task in row.tasks.values) {
                used.merge(task.job.queue.id, task.step.demand.cpuMillis.toLong(), Long::plus)
            }
        }
        val queued = HashMap<QueueId, Long>()
        for (job in tables.waiting) queued.merge(job.queue.id, job.queuedCpuMillis(), Long::plus)
        val queues = (used.keys + queued.keys + listOfNotNull(applicant))
            .mapNotNull { tables.configuration?.queueOrNull(it) }
            .filter { it.service == service }
        return shares.divide(
            capacity,
            queues.map { QueueUse(it.id.value, it.priority, used[it.id] ?: 0, queued[it.id] ?: 0) },
        )
    }

    /** Ledgers of the services that have jobs waiting. */
    fun ledgers(nowMs: Long): Map<ServiceId, ShareLedger> =
        tables.waiting.mapTo(HashSet()) { it.queue.service }.associateWith { ledger(it, nowMs) }
}

package medlarroute.dispatch

import medlarroute.dispatch.slowstart.SlowStartSystem

/** Keeps the table of backend servers in line with the list of those in the owned failure domains. */
internal class BackendListingSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val losses: RunLossSystem,
    private val slowStart: SlowStartSystem,
    private val log: EventLog,
) {
    fun update(listed: Collection<BackendInfo>, nowMs: Long) {
        val byId = listed.associateBy { it.id }
        tables.backends.values.filter { it.info.id !in byId }.forEach { remove(it, nowMs) }
        byId.values.forEach { update(it, nowMs) }
    }

    private fun update(info: BackendInfo, nowMs: Long) {
        val row = tables.backends[info.id]
        if (row == null) {
            val new = BackendRow(info, tables.runs.lease(info), BackendClock(settings.clockDrift))
            new.isEvacuated = info.failureDomain in tables.evacuated
            tables.backends[info.id] = new
            slowStart.onCold(new, info.coldLeftMs, nowMs)
            return
        }
        if (info.incarnation != 0L && info.incarnation in row.formerIncarnations) return
        if (!info.isSameProcess(row.info)) {
            losses.onReplaced(row, "listed with another process", nowMs)
            row.replaceInfo(info)
            slowStart.onCold(row, info.coldLeftMs, nowMs)
            return
        }
        if (info.draining != row.info.draining) {
            log.event("backend", "draining", "backend", info.id, "draining", info.draining)
        }
        if (info.capacity != row.info.capacity) {
            log.event(
                "backend", "resized", "backend", info.id, "was", row.info.capacity, "is", info.capacity,
                "free", row.free, "tasks", row.tasks.size,
            )
            row.resize(info.capacity)
        }
        row.info = if (info.incarnation == 0L) info.copy(incarnation = row.info.incarnation) else info
        row.isDescribed = true
        slowStart.onCold(row, info.coldLeftMs, nowMs)
    }

    fun remove(row: BackendRow, nowMs: Long, isReleased: Boolean = false) {
        tables.backends.remove(row.info.id)
        losses.onUnlisted(row, nowMs, isReleased)
        tables.reservations.onRemoved(row)
    }
}

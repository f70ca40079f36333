package medlarroute.dispatch.slowstart

import medlarroute.dispatch.BackendRow
import medlarroute.dispatch.DispatchSettings
import medlarroute.dispatch.EventLog
import medlarroute.dispatch.NEVER_MS

/** Why a backend server gets a rising share of the work. */
internal enum class SlowStartCause { COLD, EVACUATION_ENDED, NEW_PROCESS, EJECTION_ENDED }

/**
 * Gives backend servers that have just begun or returned to service a rising share of the work, since they may be
 * slower than before or fail again. Those that this owner finds at its start or takeover are limited only if they are
 * cold.
 */
internal class SlowStartSystem(private val settings: DispatchSettings, private val log: EventLog) {
    /** [row] is listed as slow for another [leftMs]. Later lists only repeat the rest of that time. */
    fun onCold(row: BackendRow, leftMs: Long, nowMs: Long) {
        if (leftMs <= 0 || row.coldIncarnation == row.info.incarnation) return
        row.coldIncarnation = row.info.incarnation
        begin(row, SlowStartCause.COLD, leftMs, nowMs)
    }

    fun onEvacuationEnded(row: BackendRow, nowMs: Long) =
        begin(row, SlowStartCause.EVACUATION_ENDED, settings.slowStartMs, nowMs)

    /** Called before the state of the previous process of [row] is reset. */
    fun onReplaced(row: BackendRow, nowMs: Long) {
        // A list that is older than this owner may name a process that it has never reached.
        if (row.lastReportAtMs != NEVER_MS) begin(row, SlowStartCause.NEW_PROCESS, settings.slowStartMs, nowMs)
    }

    fun onEjectionEnded(row: BackendRow, nowMs: Long) =
        begin(row, SlowStartCause.EJECTION_ENDED, settings.slowStartMs, nowMs)

    private fun begin(row: BackendRow, cause: SlowStartCause, durationMs: Long, nowMs: Long) {
        val untilMs = nowMs + durationMs
        if (untilMs <= maxOf(nowMs, row.coreLimit?.untilMs ?: NEVER_MS)) return
        row.coreLimit = CoreLimit(nowMs, untilMs)
        log.event(
            "backend", "slow-start", "backend", row.info.id, "cause", cause, "forMs", durationMs,
            "tasks", row.tasks.size,
        )
    }
}

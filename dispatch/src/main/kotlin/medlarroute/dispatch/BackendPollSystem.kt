package medlarroute.dispatch

/** Keeps one poll in flight to each backend server. Polls renew leases and return the runs that have ended. */
internal class BackendPollSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
) {
    fun run(nowMs: Long) {
        for (row in tables.backends.values) {
            val isLost = nowMs - row.pollSentAtMs > row.pollWaitMs + settings.pollTimeoutMs
            if (isLost) row.pollInFlight = false
            if (!row.pollInFlight && nowMs >= nextPollMs(row)) poll(row, nowMs)
        }
    }

    private fun nextPollMs(row: BackendRow): Long = row.pollSentAtMs + when {
        row.isDisplaced -> DISPLACED_INTERVAL_MS
        row.isUnreachable -> UNREACHABLE_INTERVAL_MS
        else -> 0
    }

    private fun poll(row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        row.pollInFlight = true
        row.pollNumber++
        row.pollSentAtMs = nowMs
        val clockMs = row.backendClockMs(nowMs)
        // The first poll only reads the clock and the runs. A poll of an unreachable backend server may arrive although
        // its response is lost, and must not extend the lease of runs that are about to be abandoned.
        val isReadOnly = clockMs == null || row.isUnreachable
        row.pollWaitMs = if (isReadOnly) 0 else waitMs(row)
        // A task may start while an idle backend server is polled, so the lease covers the longer wait.
        val leaseMs = settings.leaseMs + (row.pollWaitMs - settings.pollWaitMs).coerceAtLeast(0)
        val leaseUntilMs = if (isReadOnly) null else clockMs?.plus(leaseMs)
        if (leaseUntilMs != null) row.lease.endMs = maxOf(row.lease.endMs, leaseEnd(settings, nowMs, leaseMs))
        actions.poll(PollRequest(row.info, token, leaseUntilMs, row.acknowledgedEnd, row.pollWaitMs), row.pollNumber)
    }

    private fun waitMs(row: BackendRow): Long {
        val isIdle = row.tasks.isEmpty() && row.unknownRuns.isEmpty()
        return if (isIdle) settings.idlePollWaitMs else settings.pollWaitMs
    }

    private companion object {
        const val UNREACHABLE_INTERVAL_MS = 250L

        /** The entry of the former process expires within a few seconds. */
        const val DISPLACED_INTERVAL_MS = 2_000L
    }
}

/** Latest end, on the dispatcher's clock, of a lease of [leaseMs] that is granted at [nowMs]. */
internal fun leaseEnd(settings: DispatchSettings, nowMs: Long, leaseMs: Long): Long =
    nowMs + (leaseMs * (1 + settings.clockDrift)).toLong() + LEASE_MARGIN_MS

/** Covers the error of the estimated clock of a backend server and the time it takes to stop expired runs. */
private const val LEASE_MARGIN_MS = 100L

package medlarroute.dispatch

/** Keeps one look in flight to each backend server, which renews leases and brings ends. */
internal class LookSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
) {
    fun run(nowMs: Long) {
        for (row in tables.backends.values) {
            if (row.looking &&
                nowMs - row.lookSentAtMs > settings.lookWaitMs + settings.lookTimeoutMs
            ) {
                row.looking = false
            }
            if (!row.looking && nowMs >= nextLookMs(row)) poll(row, nowMs)
        }
    }

    private fun nextLookMs(row: BackendRow): Long =
        if (row.isUnreachable) row.lookSentAtMs + UNREACHABLE_INTERVAL_MS else row.lookSentAtMs

    private fun poll(row: BackendRow, nowMs: Long) {
        val token = tables.token(row) ?: return
        row.looking = true
        row.lookNumber++
        row.lookSentAtMs = nowMs
        val clockMs = row.clockAt(nowMs)
        // The first look only reads the clock and the lists. One to a backend server out of reach may arrive without
        // an answer and must not lengthen the lease of runs that are about to be given up.
        val isReading = clockMs == null || row.isUnreachable
        val leaseUntilMs = if (isReading) null else clockMs?.plus(settings.leaseMs)
        if (leaseUntilMs != null) row.leaseEndMs = maxOf(row.leaseEndMs, leaseEnd(settings, nowMs))
        val waitMs = if (isReading) 0 else settings.lookWaitMs
        actions.poll(PollRequest(row.info, token, leaseUntilMs, row.acknowledgedEnd, waitMs), row.lookNumber)
    }

    private companion object {
        const val UNREACHABLE_INTERVAL_MS = 250L
    }
}

/** Latest end, on the dispatcher's clock, of a lease that is granted now. */
internal fun leaseEnd(settings: DispatchSettings, nowMs: Long): Long =
    nowMs + (settings.leaseMs * (1 + settings.clockDrift)).toLong() + LEASE_MARGIN_MS

/** Error of the estimate of a backend server's clock, and the time in which lapsed runs are ended. */
private const val LEASE_MARGIN_MS = 100L

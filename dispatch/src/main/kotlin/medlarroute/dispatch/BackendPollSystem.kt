package medlarroute.dispatch

/** Keeps one poll in flight to each backend server. Polls renew leases and return the runs that have ended. */
internal class BackendPollSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val limits: LeaseLimits,
    private val log: EventLog,
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
        val waitMs = if (isReadOnly) 0 else waitMs(row)
        // A task may start while an idle backend server is polled, so the lease covers the longer wait.
        val fullLeaseMs = settings.leaseMs + (waitMs - settings.pollWaitMs).coerceAtLeast(0)
        val leaseMs = minOf(fullLeaseMs, limits.limitMs(row) - nowMs)
        // The limit rises as soon as the missing renewals arrive.
        row.pollWaitMs = if (leaseMs < fullLeaseMs) minOf(waitMs, LIMITED_WAIT_MS) else waitMs
        logLimit(row, leaseMs, isLimited = !isReadOnly && leaseMs < settings.startValidityMs)
        val leaseUntilMs = if (isReadOnly || leaseMs <= 0) null else clockMs?.plus(leaseMs)
        if (leaseUntilMs != null) row.lease.grant(leaseMs, settings, nowMs)
        actions.poll(PollRequest(row.info, token, leaseUntilMs, row.acknowledgedEnd, row.pollWaitMs), row.pollNumber)
    }

    /** Logs when the lease of [row] begins to run out since runs there are not renewed. */
    private fun logLimit(row: BackendRow, leaseMs: Long, isLimited: Boolean) {
        if (isLimited && !row.isLeaseLimited) {
            val unrenewed = row.tasks.values.minByOrNull { it.job.renewedAtMs }
            log.event(
                "backend", "lease-limited", "backend", row.info.id, "forMs", leaseMs, "tasks", row.tasks.size,
                "unknown", row.unknownRuns.size, "job", unrenewed?.key?.job, "ended", unrenewed?.job?.ended,
            )
        }
        row.isLeaseLimited = isLimited
    }

    private fun waitMs(row: BackendRow): Long {
        val isIdle = row.tasks.isEmpty() && row.unknownRuns.isEmpty()
        return if (isIdle) settings.idlePollWaitMs else settings.pollWaitMs
    }

    private companion object {
        const val UNREACHABLE_INTERVAL_MS = 250L

        /** As long as the interval of renewals. */
        const val LIMITED_WAIT_MS = 100L

        /** The entry of the former process expires within a few seconds. */
        const val DISPLACED_INTERVAL_MS = 2_000L
    }
}

/** Records that a lease of [leaseMs] is granted at [nowMs]. */
internal fun BackendLease.grant(leaseMs: Long, settings: DispatchSettings, nowMs: Long) {
    endMs = maxOf(endMs, nowMs + (leaseMs * (1 + settings.clockDrift)).toLong() + LEASE_MARGIN_MS)
    grantedUntilMs = maxOf(grantedUntilMs, nowMs + leaseMs)
}

/** Covers the error of the estimated clock of a backend server and the time it takes to stop expired runs. */
private const val LEASE_MARGIN_MS = 100L

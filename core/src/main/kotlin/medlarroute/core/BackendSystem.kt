package medlarroute.core

/** Keeps the backend server table in step with membership, and ejects backend servers that fail what they start. */
internal class BackendSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val pool: BackendPool,
) {
    private var ejected = 0

    fun seen(info: BackendServer, nowNs: Long) {
        val known = tables.backends[info.id]
        if (known != null && known.info.failureDomain == info.failureDomain) return serving(known, info, nowNs)
        if (known != null) forget(known)
        val row = BackendRow(info)
        tables.backends[info.id] = row
        pool.add(row, nowNs)
    }

    private fun serving(row: BackendRow, info: BackendServer, nowNs: Long) {
        if (row.leaving) row.window = 1
        row.info = info
        row.leaving = false
        row.removed = false
        pool.refreshRules(row, nowNs)
    }

    fun leaving(id: BackendId, nowNs: Long) {
        val row = tables.backends[id] ?: return
        row.leaving = true
        pool.refreshRules(row, nowNs)
    }

    /** Running tasks go on: the list lags, and their replies may still come. */
    fun removed(id: BackendId, nowNs: Long) {
        val row = tables.backends[id] ?: return
        leaving(id, nowNs)
        row.removed = true
        forgetIfIdle(row)
    }

    fun rulesChanged(nowNs: Long) {
        tables.backends.values.forEach { pool.refreshRules(it, nowNs) }
    }

    /** Drops the row of a backend server that is gone from the list once nothing runs on it any more. */
    fun forgetIfIdle(row: BackendRow) {
        if (row.removed && row.outstanding == 0 && tables.backends[row.id] === row) forget(row)
    }

    private fun forget(row: BackendRow) {
        if (isEjected(row)) ejected--
        tables.backends.remove(row.id)
        if (row.slot >= 0) pool.remove(row)
    }

    fun succeeded(row: BackendRow, nowNs: Long) {
        row.failuresInRow = 0
        row.busyReplies = 0
        row.successes++
        row.window = (row.window + 1).coerceAtMost(row.info.slots)
        if (!isEjected(row)) return pool.update(row, nowNs)
        // A success of a task that was started before the ejection proves nothing; only that of a probe does.
        if (!row.isProbing) return
        ejected--
        row.ejections = 0
        row.window = 2
        row.isProbing = false
        row.ejectedUntilNs = NEVER_NS
        pool.update(row, nowNs)
    }

    /** Counts a failure of a task of [kind]; a kind that fails everywhere says nothing about the backend server. */
    fun failed(row: BackendRow, kind: KindRow, nowNs: Long) {
        if (kind.failureRatio > MAX_KIND_FAILURES) return pool.update(row, nowNs)
        row.failuresInRow++
        val limit = if (row.successes == 0L) 1 else settings.ejectAfterFailures
        val isDue = if (isEjected(row)) row.isProbing else row.failuresInRow >= limit
        if (isDue) eject(row, nowNs) else pool.update(row, nowNs)
    }

    /** A probe that did not start is tried again. */
    fun returned(row: BackendRow, nowNs: Long) {
        if (isEjected(row) && row.isProbing) pool.eject(row, settings.ejectionMs * NS_PER_MS, nowNs)
    }

    private fun eject(row: BackendRow, nowNs: Long) {
        if (Mechanism.EJECTION in settings.disabled) return pool.update(row, nowNs)
        // If most backend servers fail, the cause lies elsewhere, and ejecting the rest would stop all work.
        if (!isEjected(row) && (ejected + 1) * 2 > tables.backends.size.coerceAtLeast(2)) {
            row.window = 1
            return pool.update(row, nowNs)
        }
        if (!isEjected(row)) ejected++
        row.window = 1
        val doublings = row.ejections++.coerceAtMost(MAX_DOUBLINGS)
        val forMs = (settings.ejectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
        pool.eject(row, forMs * NS_PER_MS, nowNs)
    }

    private fun isEjected(row: BackendRow) = row.ejectedUntilNs != NEVER_NS

    private companion object {
        const val MAX_KIND_FAILURES = 0.5
        const val MAX_DOUBLINGS = 10
    }
}

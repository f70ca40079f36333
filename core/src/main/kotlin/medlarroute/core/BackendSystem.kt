package medlarroute.core

/** Updates the backend server table from membership changes, and ejects backend servers whose tasks fail. */
internal class BackendSystem(
    private val settings: EngineSettings,
    private val tables: Tables,
    private val pool: BackendPool,
) {
    private var ejectedCount = 0

    fun serving(info: BackendServer, nowNs: Long) {
        val known = tables.backends[info.id]
        if (known != null && known.info.failureDomain == info.failureDomain) return refresh(known, info, nowNs)
        if (known != null) forget(known)
        val row = BackendRow(info)
        tables.backends[info.id] = row
        pool.add(row, nowNs)
    }

    private fun refresh(row: BackendRow, info: BackendServer, nowNs: Long) {
        if (row.leaving) row.slowStartWindow = 1
        row.info = info
        row.leaving = false
        row.removed = false
        pool.refreshAllowed(row, nowNs)
    }

    fun leaving(id: BackendId, nowNs: Long) {
        val row = tables.backends[id] ?: return
        row.leaving = true
        pool.refreshAllowed(row, nowNs)
    }

    /** Running tasks continue: the list lags, and their replies may still arrive. */
    fun removed(id: BackendId, nowNs: Long) {
        val row = tables.backends[id] ?: return
        leaving(id, nowNs)
        row.removed = true
        forgetIfIdle(row)
    }

    fun rulesChanged(nowNs: Long) {
        tables.backends.values.forEach { pool.refreshAllowed(it, nowNs) }
    }

    /** Drops the row of a backend server that was removed from the list once no task of this instance runs on it. */
    fun forgetIfIdle(row: BackendRow) {
        if (row.removed && row.outstanding == 0 && tables.backends[row.id] === row) forget(row)
    }

    private fun forget(row: BackendRow) {
        if (isEjected(row)) ejectedCount--
        tables.backends.remove(row.id)
        if (row.indexPosition >= 0) pool.remove(row)
    }

    fun succeeded(row: BackendRow, nowNs: Long) {
        row.failuresInRow = 0
        row.busyReplies = 0
        row.successes++
        row.slowStartWindow = (row.slowStartWindow + 1).coerceAtMost(row.info.slots)
        if (!isEjected(row)) return pool.update(row, nowNs)
        // Only the success of a probe ends an ejection; a task that was started before the ejection proves nothing.
        if (!row.isProbing) return
        ejectedCount--
        row.ejections = 0
        row.slowStartWindow = 2
        row.isProbing = false
        row.ejectedUntilNs = NEVER_NS
        pool.update(row, nowNs)
    }

    /** Counts a failed task of [kind]. If most tasks of the kind fail, that says nothing about the backend server. */
    fun failed(row: BackendRow, kind: KindRow, nowNs: Long) {
        if (kind.failureRatio > MAX_KIND_FAILURES) return pool.update(row, nowNs)
        row.failuresInRow++
        val limit = if (row.successes == 0L) 1 else settings.ejectAfterFailures
        val isDue = if (isEjected(row)) row.isProbing else row.failuresInRow >= limit
        if (isDue) eject(row, nowNs) else pool.update(row, nowNs)
    }

    /** A start was proved not to have taken place; a probe is repeated later. */
    fun notStarted(row: BackendRow, nowNs: Long) {
        if (isEjected(row) && row.isProbing) pool.eject(row, settings.ejectionMs * NS_PER_MS, nowNs)
    }

    private fun eject(row: BackendRow, nowNs: Long) {
        if (Mechanism.EJECTION in settings.disabled) return pool.update(row, nowNs)
        // If most backend servers fail, the cause lies elsewhere, and ejecting more of them would stop all work.
        if (!isEjected(row) && (ejectedCount + 1) * 2 > tables.backends.size.coerceAtLeast(2)) {
            row.slowStartWindow = 1
            return pool.update(row, nowNs)
        }
        if (!isEjected(row)) ejectedCount++
        row.slowStartWindow = 1
        val doublings = row.ejections++.coerceAtMost(MAX_DOUBLINGS)
        val forMs = (settings.ejectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
        pool.eject(row, forMs * NS_PER_MS, nowNs)
    }

    private fun isEjected(row: BackendRow) = row.ejectedUntilNs != NEVER_NS

    private companion object {
        /** If a larger part of the tasks of a kind fails, the failures are attributed to the kind. */
        const val MAX_KIND_FAILURES = 0.5
        const val MAX_DOUBLINGS = 10
    }
}

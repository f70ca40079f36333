package medlarroute.dispatch

import kotlin.math.abs

/**
 * Finds out which tasks crash the backend servers that start them, and decides when a task is given up.
 *
 * A crash counts for each task whose run may have been active. It shows by a connection that is closed, with new ones
 * refused, or by another process under the same id or address. Silence, or refused connections alone, are no evidence,
 * since a partition or a pause looks the same, but the task waits if it might have crashed as many backend servers as
 * are allowed. A backend server that was about to leave does
 * not count. A crash is refuted if the process is reached again. All of this holds as well if the backend server is
 * no longer listed when its process is lost, or when another one is found in its place.
 *
 * A task on a lost backend server runs alone from then on (see [IsolationSystem]), unless many were lost together, so a
 * second crash tells it from those that only ran beside it.
 */
internal class CrashSystem(
    private val settings: DispatchSettings,
    private val tables: DispatchTables,
    private val actions: DispatchActions,
    private val log: EventLog,
) {
    /** Backend servers that are no longer listed, of which another process may be found. */
    private val unlisted = ArrayList<UnlistedBackend>()

    /** Listed backend servers that other instances have found silent. */
    private val doubted = HashSet<String>()

    private class UnlistedBackend(val row: BackendRow, val sinceMs: Long)

    /** The process of [row] seems to have ended. */
    fun recordCrash(row: BackendRow, evidence: CrashEvidence, nowMs: Long) {
        record(row, row.lapsedRuns + row.lostRuns(nowMs), evidence, nowMs)
        if (evidence == CrashEvidence.REPLACED) proveLosses(row, nowMs) { it.incarnation == row.info.incarnation }
    }

    private fun record(row: BackendRow, runs: Map<TaskKey, LostRun>, evidence: CrashEvidence, nowMs: Long) {
        if (runs.isEmpty()) return
        if (row.info.draining) {
            log.event("backend", "crash-ignored", "backend", row.info.id, "reason", "draining", "tasks", runs.size)
            return
        }
        val wasAlone = runs.size == 1 && row.unknownRuns.isEmpty()
        val isProven = evidence == CrashEvidence.CLOSED || evidence == CrashEvidence.REPLACED
        val crash = crashOf(row, wasAlone, isJoint = false, isProven)
        val changed = runs.mapNotNull { (task, run) ->
            val ofRun = crash.copy(run = run.run, isConfirmed = run.isConfirmed)
            merge(TaskHistory(task, crashes = listOf(ofRun)), nowMs)
        }
        for (history in changed) {
            log.event(
                "dispatch", "task-suspected", "job", history.task.job, "task", history.task,
                "backend", row.info.id, "incarnation", row.info.incarnation, "evidence", evidence,
                "beside", runs.size - 1, "crashes", history.provenCrashes.size,
                "possible", history.possibleCrashes.size,
            )
        }
        publish(changed)
    }

    private fun crashOf(row: BackendRow, wasAlone: Boolean, isJoint: Boolean, isProven: Boolean) = BackendCrash(
        row.info.id,
        row.info.incarnation,
        wasAlone,
        isJoint,
        isProven,
        address = row.info.address,
    )

    /**
     * Called before the tasks of [row] start elsewhere since it is no longer listed or controlled by this instance. One
     * that was reachable until then may have been taken away, which is no crash unless another process is found there.
     */
    fun onUnlisted(row: BackendRow, nowMs: Long) {
        unlisted.removeIf { nowMs - it.sinceMs > settings.historyRetentionMs }
        unlisted += UnlistedBackend(row, nowMs)
        if (row.isUnreachable) reviewLoss(row, nowMs)
        row.lapsedRuns += row.lostRuns(nowMs)
    }

    /** Runs on the backend servers of [failureDomain] may have ended under the next owner before their processes do. */
    fun onReleased(failureDomain: String) {
        unlisted.removeIf { it.row.info.failureDomain == failureDomain }
    }

    /**
     * Called before the tasks of [row] start elsewhere or are given up. If many other backend servers were lost at the
     * same time, the tasks are not the likely cause.
     */
    fun reviewLoss(row: BackendRow, nowMs: Long) {
        if (!row.isRefusing) record(row, row.lostRuns(nowMs), CrashEvidence.SILENT, nowMs)
        val lost = lostTogetherWith(row)
        if (!isJointLoss(row, lost)) return
        val crash = crashOf(row, wasAlone = false, isJoint = true, isProven = false)
        val known = row.lostRuns(nowMs).filterKeys { tables.histories.find(it) != null }
        val cleared = known.mapNotNull { (task, run) ->
            val ofRun = crash.copy(run = run.run, isConfirmed = run.isConfirmed)
            merge(TaskHistory(task, crashes = listOf(ofRun)), nowMs)
        }
        if (cleared.isEmpty()) return
        log.event("backend", "joint-loss", "backend", row.info.id, "rack", row.info.rack, "lost", lost.size)
        publish(cleared)
    }

    private fun lostTogetherWith(row: BackendRow): List<BackendRow> {
        val withinMs = if (row.isRefusing) JOINT_LOSS_MS else JOINT_SILENCE_MS
        return (tables.backends.values + unlisted.map { it.row }).distinct().filter {
            it.isUnreachable && abs(it.unreachableSinceMs - row.unreachableSinceMs) <= withinMs
        }
    }

    private fun isJointLoss(row: BackendRow, lost: List<BackendRow>): Boolean {
        if (lost.size < MIN_JOINT_LOSS) return false
        val all = tables.backends.values.toSet() + lost
        return lost.size >= all.size * JOINT_LOSS_SHARE || isRackLost(row, lost, all)
    }

    private fun isRackLost(row: BackendRow, lost: List<BackendRow>, all: Set<BackendRow>): Boolean {
        val rack = row.info.rack ?: return false
        fun isNeighbour(other: BackendRow) =
            other.info.rack == rack && other.info.failureDomain == row.info.failureDomain
        val lostInRack = lost.count(::isNeighbour)
        return lostInRack >= MIN_JOINT_LOSS && lostInRack * 2 >= all.count(::isNeighbour)
    }

    /** Results of the jobs on [row] of which a task is given up. The crash must be certain by now. */
    fun jobsToFail(row: BackendRow): Map<JobRow, JobResult.Failed> =
        row.tasks.values.filterNot { it.job.ended }
            .mapNotNull { task -> resultOrNull(task)?.let { task.job to it } }
            .toMap()

    /** The process of [row] has answered: it has not crashed, but earlier ones under its id or address have. */
    fun onReached(row: BackendRow, nowMs: Long) {
        val former = unlisted.map { it.row }.filter { isSamePlace(row, it.info.id, it.info.address) }
        unlisted.removeIf { it.row in former }
        former.filter { it.info.incarnation != row.info.incarnation }
            .forEach { recordCrash(it, CrashEvidence.REPLACED, nowMs) }
        proveLosses(row, nowMs) { it.incarnation != row.info.incarnation }
        val refuted = tables.histories.all.mapNotNull { history ->
            val losses = history.crashes.filter {
                !it.isRefuted && isSamePlace(row, it.backend, it.address) && it.incarnation == row.info.incarnation
            }
            if (losses.isEmpty()) return@mapNotNull null
            merge(TaskHistory(history.task, crashes = losses.map { it.copy(isRefuted = true) }), nowMs)
        }
        for (history in refuted) {
            log.event(
                "dispatch", "crash-refuted", "job", history.task.job, "task", history.task,
                "backend", row.info.id, "incarnation", row.info.incarnation, "possible", history.possibleCrashes.size,
            )
        }
        publish(refuted)
    }

    /** The process of [row] has answered, as it did before. */
    fun onReport(row: BackendRow, nowMs: Long) {
        if (doubted.remove(row.info.id)) onReached(row, nowMs)
    }

    private fun isSamePlace(row: BackendRow, backend: String, address: String) =
        backend == row.info.id || address == row.info.address

    /** The processes of [row] that [isEnded] selects have ended, also those that other owners have only seen silent. */
    private fun proveLosses(row: BackendRow, nowMs: Long, isEnded: (BackendCrash) -> Boolean) {
        val proven = tables.histories.all.mapNotNull { history ->
            val ended = history.possibleCrashes
                .filter { isSamePlace(row, it.backend, it.address) && !it.isProven && isEnded(it) }
            if (ended.isEmpty()) return@mapNotNull null
            merge(TaskHistory(history.task, crashes = ended.map { it.copy(isProven = true) }), nowMs)
        }
        publish(proven)
    }

    /** Results of the jobs of which a waiting task is given up, since losses have been proved meanwhile. */
    fun waitingJobsToFail(): Map<JobRow, JobResult.Failed> {
        if (tables.histories.size == 0) return emptyMap()
        return tables.waiting.asSequence().flatMap { it.allTasks() }
            .filter { it.state == TaskState.QUEUED }
            .mapNotNull { task -> resultOrNull(task)?.let { task.job to it } }
            .toMap()
    }

    /** A run of [task] has failed. */
    fun recordFailure(task: TaskRow, nowMs: Long) {
        merge(TaskHistory(task.key, failures = task.failures + 1), nowMs)
    }

    /** Adds what another instance knows. */
    fun mergeAll(histories: List<TaskHistory>, nowMs: Long) {
        val changed = histories.mapNotNull { merge(it, nowMs) }
        changed.flatMap { it.possibleCrashes }.filter { !it.isProven && it.backend in tables.backends }
            .mapTo(doubted) { it.backend }
    }

    /** Gives the tasks of a new [job] their histories. */
    fun assignHistories(job: JobRow) {
        if (tables.histories.size == 0) return
        job.allTasks().forEach { it.history = tables.histories.find(it.key) }
    }

    /** The result of a job of which no task may be started any more because of [task]; null if it may. */
    fun resultOrNull(task: TaskRow): JobResult.Failed? {
        val history = task.history ?: return null
        val crashes = history.provenCrashes
        val confirmed = crashes.filter { it.isConfirmed }
        val isLikelyCause = confirmed.size >= settings.crashesOfCause && confirmed.any { it.wasAlone && !it.isJoint }
        return when {
            history.failures >= task.job.queue.maxAttempts -> JobResult.Failed(
                "a task has failed ${task.failures} times",
            )

            isLikelyCause || crashes.size >= settings.maxCrashes ->
                JobResult.Failed("a task has crashed ${crashes.size} backend servers")

            else -> null
        }
    }

    private fun merge(history: TaskHistory, nowMs: Long): TaskHistory? {
        val merged = tables.histories.merge(history, nowMs) ?: return null
        tables.jobs[merged.task.job]?.task(merged.task)?.history = merged
        return merged
    }

    private fun publish(histories: List<TaskHistory>) {
        if (histories.isNotEmpty()) actions.historiesChanged(histories)
    }

    private companion object {
        /** Connections to backend servers of a rack that are lost together break within this time. */
        const val JOINT_LOSS_MS = 150L

        /** Silence is noticed when a poll has got no response, which differs by as much as a poll takes. */
        const val JOINT_SILENCE_MS = 800L

        /** Two crashes at about the same time may be chance. */
        const val MIN_JOINT_LOSS = 3

        /** Fraction of all backend servers whose loss at the same time has a common cause, such as a partition. */
        const val JOINT_LOSS_SHARE = 0.1
    }
}

/** How it was noticed that a process of a backend server may have ended. */
internal enum class CrashEvidence {
    /** It has closed its connection and new ones are refused. */
    CLOSED,

    /** Connections are refused, which a partition that resets connections does as well. */
    REFUSED,

    /** Another process is found in its place. */
    REPLACED,

    /** It does not answer. */
    SILENT,
}

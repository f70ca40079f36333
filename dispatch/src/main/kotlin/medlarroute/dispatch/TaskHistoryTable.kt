package medlarroute.dispatch

/**
 * Histories of tasks, in the order of their last changes. A history is dropped when it has not changed for
 * [retentionMs] and its job is not open here, or when there are more than [MAX_TASKS].
 */
internal class TaskHistoryTable(private val retentionMs: Long) {
    private class Entry(val history: TaskHistory, val changedAtMs: Long)

    private val entries = LinkedHashMap<TaskKey, Entry>()

    val all: List<TaskHistory> get() = entries.values.map { it.history }

    val size: Int get() = entries.size

    fun find(task: TaskKey): TaskHistory? = entries[task]?.history

    /** Adds [history] to what is known. Returns the result, or null if nothing was new. */
    fun merge(history: TaskHistory, nowMs: Long): TaskHistory? {
        val known = entries[history.task]?.history
        val merged = known?.merge(history) ?: history
        if (merged == known) return null
        entries.remove(history.task)
        entries[history.task] = Entry(merged, nowMs)
        if (entries.size > MAX_TASKS) entries.remove(entries.keys.first())
        return merged
    }

    fun prune(nowMs: Long, isOpen: (JobId) -> Boolean) {
        val oldestAtMs = entries.values.firstOrNull()?.changedAtMs ?: return
        if (nowMs - oldestAtMs <= retentionMs) return
        entries.entries.removeIf { (task, entry) -> nowMs - entry.changedAtMs > retentionMs && !isOpen(task.job) }
    }

    private companion object {
        /** Bounds memory and the size of the message that a new connection starts with. */
        const val MAX_TASKS = 2_000
    }
}

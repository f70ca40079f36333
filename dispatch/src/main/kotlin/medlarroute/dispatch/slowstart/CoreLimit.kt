package medlarroute.dispatch.slowstart

/** A limit on the cores of a backend server in use at once, which rises evenly from [START_SHARE] to all of them. */
internal class CoreLimit(private val sinceMs: Long, val untilMs: Long) {
    fun isOver(nowMs: Long): Boolean = nowMs >= untilMs

    /** The limit for a backend server with [capacityMillis] thousandths of a core. */
    fun limitMillis(capacityMillis: Int, nowMs: Long): Int {
        if (isOver(nowMs)) return capacityMillis
        val elapsed = (nowMs - sinceMs).coerceAtLeast(0).toDouble() / (untilMs - sinceMs)
        return (capacityMillis * (START_SHARE + (1 - START_SHARE) * elapsed)).toInt()
    }

    private companion object {
        /**
         * One task always fits, so the predicted capacity must not begin at zero. A quarter holds one task of the
         * usual demands or little less.
         */
        const val START_SHARE = 0.25
    }
}

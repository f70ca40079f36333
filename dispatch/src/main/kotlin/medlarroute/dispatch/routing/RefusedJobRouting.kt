package medlarroute.dispatch.routing

/** [owner] with the demand of its running and queued tasks as a percentage of its capacity, as it was last reported. */
internal class ReportedLoad(val owner: String, val loadPercent: Int)

/**
 * Chooses the next owner for a job that owners have refused: the least loaded one that has not been asked yet.
 *
 * An owner is asked although it may refuse, too: it decides by its present state, while the reported load is one or two
 * heartbeats old.
 *
 * @property limitPercent owners with this load or a higher one are not asked. They have more queued work than they can
 *   start, so that they would refuse the job, too.
 */
internal class RefusedJobRouting(private val limitPercent: Int) {
    fun nextOrNull(owners: List<ReportedLoad>, refusedBy: Set<String>): ReportedLoad? =
        owners.filter { it.owner !in refusedBy && it.loadPercent < limitPercent }.minByOrNull { it.loadPercent }
}

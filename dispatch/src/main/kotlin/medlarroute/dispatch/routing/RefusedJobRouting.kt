package medlarroute.dispatch.routing

/** [owner] with the demand of its running and queued tasks as a percentage of its capacity, as it was last told. */
internal class ToldLoad(val owner: String, val loadPercent: Int)

/**
 * Chooses the next owner for a job that owners have refused: the least loaded one that has not been asked yet.
 *
 * An owner is asked although it may refuse, too: it decides by its present state, while the told load is one or two
 * heartbeats old.
 *
 * @property limitPercent owners with this load or a higher one are not asked. They have more queued work than they can
 *   start, so that they would refuse the job, too.
 */
internal class RefusedJobRouting(private val limitPercent: Int) {
    fun nextOrNull(owners: List<ToldLoad>, refusedBy: Set<String>): ToldLoad? =
        owners.filter { it.owner !in refusedBy && it.loadPercent < limitPercent }.minByOrNull { it.loadPercent }
}

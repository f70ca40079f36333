package medlarroute.dispatch.routing

import kotlin.random.Random

internal class OwnDomainOnly(private val entry: OwnerLoad.Entry) : OwnerLoad.Policy {
    override fun newJob() = entry.ownOwner
}

/** One other owner with a load below 75%, as in deployments without an owner for each failure domain. */
internal class FixedReserve(private val entry: OwnerLoad.Entry) : OwnerLoad.Policy {
    private val routing = RefusedJobRouting(limitPercent = 75)

    override fun newJob() = entry.ownOwner

    override fun refused(refusedBy: Set<String>): ReportedLoad? =
        if (refusedBy.size > 1) null else routing.nextOrNull(entry.reportedLoads, refusedBy)
}

internal class LeastLoaded(private val entry: OwnerLoad.Entry) : OwnerLoad.Policy {
    override fun newJob() = entry.reportedLoads.minBy { it.loadPercent }.owner
}

internal class RandomOfTwo(private val entry: OwnerLoad.Entry) : OwnerLoad.Policy {
    private val random = Random(entry.name.hashCode())

    override fun newJob() = entry.reportedLoads.shuffled(random).take(2).minBy { it.loadPercent }.owner
}

/** Each other owner once. */
internal class EachOwner(private val entry: OwnerLoad.Entry, limitPercent: Int) : OwnerLoad.Policy {
    private val routing = RefusedJobRouting(limitPercent)

    override fun newJob() = entry.ownOwner

    override fun refused(refusedBy: Set<String>): ReportedLoad? = routing.nextOrNull(entry.reportedLoads, refusedBy)
}

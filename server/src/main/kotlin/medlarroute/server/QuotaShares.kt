package medlarroute.server

import medlarroute.core.DemandMeter
import medlarroute.core.EntryMember
import medlarroute.core.Input
import medlarroute.core.QuotaDemand
import medlarroute.core.QuotaGrant
import medlarroute.core.QuotaLedger
import medlarroute.core.Rules
import medlarroute.core.TeamId
import kotlin.math.abs
import kotlin.time.Duration

/** Thread-safe wrapper of [QuotaLedger] and [DemandMeter]. Each change of the shares is sent to the engine. */
internal class QuotaShares(
    private val ledger: QuotaLedger,
    private val meter: DemandMeter,
    private val inputs: InputSink,
) {
    private var publishedShares: Map<TeamId, Double> = emptyMap()

    /** Records that a job of [team] with [tasks] tasks has arrived, admitted or not. */
    @Synchronized
    fun recordDemand(team: TeamId, tasks: Int): Unit = meter.add(team, tasks)

    @Synchronized
    fun rulesChanged(rules: Rules) {
        ledger.quotasChanged(rules.quotas)
        publishShares()
    }

    /** Updates the shares from the measured demand and expired grants. */
    @Synchronized
    fun refresh() {
        ledger.demandChanged(meter.rates())
        publishShares()
    }

    @Synchronized
    fun retire() {
        ledger.retire()
        publishShares()
    }

    @Synchronized
    fun demands(peers: Int): List<QuotaDemand> = ledger.demands(peers, MAX_TEAMS_PER_MESSAGE)

    /** Lends shares; sends the reduced shares to the engine before it returns. */
    @Synchronized
    fun lend(demands: List<QuotaDemand>): List<QuotaGrant> =
        ledger.lend(demands, MAX_TEAMS_PER_MESSAGE).also { publishShares() }

    @Synchronized
    fun borrow(lender: EntryMember, grants: List<QuotaGrant>, sentAt: Duration) {
        ledger.borrow(lender, grants, sentAt)
        publishShares()
    }

    @Synchronized
    fun requestTime(): Duration = ledger.requestTime()

    @Synchronized
    fun shares(): Map<TeamId, Double> = ledger.shares()

    private fun publishShares() {
        val shares = ledger.shares()
        if (isPublished(shares)) return
        publishedShares = shares
        inputs.offer(Input.SharesChanged(shares))
    }

    private fun isPublished(shares: Map<TeamId, Double>): Boolean =
        shares.keys == publishedShares.keys &&
            shares.all { (team, share) -> abs(share - publishedShares.getValue(team)) < ROUNDING_PER_SECOND }

    private companion object {
        /** Differences below this bound are rounding errors. */
        const val ROUNDING_PER_SECOND = 1e-9

        /** Leaves room in a heartbeat for membership updates. */
        const val MAX_TEAMS_PER_MESSAGE = 3
    }
}

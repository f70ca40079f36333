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

/** [QuotaLedger] and [DemandMeter] shared between threads. The engine is told of each change of the shares. */
internal class QuotaShares(
    private val ledger: QuotaLedger,
    private val meter: DemandMeter,
    private val inputs: InputSink,
) {
    private var told: Map<TeamId, Double> = emptyMap()

    /** Notes that a job of [team] with [tasks] tasks has arrived, admitted or not. */
    @Synchronized
    fun demanded(team: TeamId, tasks: Int): Unit = meter.add(team, tasks)

    @Synchronized
    fun rulesChanged(rules: Rules) {
        ledger.quotasChanged(rules.quotas)
        tell()
    }

    /** Takes in the measured demand and the ends of grants. */
    @Synchronized
    fun refresh() {
        ledger.demandChanged(meter.rates())
        tell()
    }

    @Synchronized
    fun retire() {
        ledger.retire()
        tell()
    }

    @Synchronized
    fun demands(peers: Int): List<QuotaDemand> = ledger.demands(peers, MAX_TEAMS_PER_MESSAGE)

    /** Lends, and tells the engine of the lower share before it returns. */
    @Synchronized
    fun lend(asked: List<QuotaDemand>): List<QuotaGrant> = ledger.lend(asked, MAX_TEAMS_PER_MESSAGE).also { tell() }

    @Synchronized
    fun borrow(lender: EntryMember, grants: List<QuotaGrant>, sentAt: Duration) {
        ledger.borrow(lender, grants, sentAt)
        tell()
    }

    @Synchronized
    fun requestTime(): Duration = ledger.requestTime()

    @Synchronized
    fun shares(): Map<TeamId, Double> = ledger.shares()

    private fun tell() {
        val shares = ledger.shares()
        val isSame = shares.keys == told.keys && shares.all { (team, share) -> isClose(share, told.getValue(team)) }
        if (isSame) return
        told = shares
        inputs.offer(Input.SharesChanged(shares))
    }

    private fun isClose(one: Double, other: Double) = abs(one - other) < ROUNDING_PER_SECOND

    private companion object {
        const val ROUNDING_PER_SECOND = 1e-9

        /** Leaves room in a heartbeat for the news of members. */
        const val MAX_TEAMS_PER_MESSAGE = 3
    }
}

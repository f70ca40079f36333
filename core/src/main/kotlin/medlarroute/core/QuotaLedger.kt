package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Settings of quota lending.
 *
 * @property lease time for which a grant holds.
 * @property margin additional time for which the lender does not use the share: covers differing clock rates, and the
 * time until the borrower's engine learns that a grant has expired.
 * @property maxLentRatio part of the own share that may be lent at once.
 */
public data class LendingSettings(
    public val lease: Duration = 10.seconds,
    public val margin: Duration = 1.seconds,
    public val maxLentRatio: Double = 0.5,
)

/**
 * The part of each team's quota that this instance may use.
 *
 * Each quota is divided evenly into shares: one for each instance that any failure domain may have. Unused share is
 * lent to peers by grants that expire. The sum of the usable shares of all instances never exceeds the quota, whatever
 * messages are lost or late: the lender lowers its share before it replies, and the borrower counts the validity of a
 * grant from the moment when it sent the request, which is before the lender starts to count. After a start, an
 * instance uses only the part of its share that an earlier incarnation can't have lent, until such grants have expired.
 * Not thread-safe.
 *
 * @param shareCount number of shares, over all failure domains.
 */
public class QuotaLedger(
    private val shareCount: Int,
    private val settings: LendingSettings = LendingSettings(),
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class LentShare(val startsPerSecond: Double, val until: Duration)

    private class BorrowedShare(val startsPerSecond: Double, val until: Duration)

    private data class GrantKey(val lender: InstanceId, val incarnation: Incarnation, val number: Long)

    private val origin = clock.markNow()
    private val quotas = HashMap<TeamId, Double>()
    private val lent = HashMap<TeamId, MutableList<LentShare>>()
    private val borrowed = HashMap<TeamId, MutableMap<GrantKey, BorrowedShare>>()
    private var demands: Map<TeamId, Double> = emptyMap()
    private var lastGrantNumber = 0L

    private var isRetired = false

    private val now: Duration get() = origin.elapsedNow()

    private val isHoldingBack: Boolean get() = now < settings.lease + settings.margin

    /** Sets the quotas of new rules, in starts per second. */
    public fun quotasChanged(quotas: Map<TeamId, Double>) {
        this.quotas.clear()
        this.quotas.putAll(quotas)
    }

    /** Sets the starts per second that each team needs on this instance. */
    public fun demandChanged(startsPerSecond: Map<TeamId, Double>) {
        demands = startsPerSecond
    }

    /** Starts per second that this instance may use for each team with a quota. */
    public fun shares(): Map<TeamId, Double> {
        removeExpired()
        return quotas.mapValues { (team, _) -> if (isRetired) 0.0 else ownShare(team) + borrowedOf(team) }
    }

    /** Reduces all shares to 0 for good: another process has replaced this one and uses its share. */
    public fun retire() {
        isRetired = true
    }

    /** Demands to send to each of [peers] peers that are contacted now: at most [limit], the largest first. */
    public fun demands(peers: Int, limit: Int): List<QuotaDemand> {
        val shares = shares()
        return shares.mapNotNull { (team, share) ->
            val missing = (demands[team] ?: 0.0) * HEADROOM - share
            if (missing < share * NEGLIGIBLE_RATIO) null else QuotaDemand(team, missing / peers.coerceAtLeast(1))
        }.sortedByDescending { it.startsPerSecond }.take(limit)
    }

    /** Lends as much of what a peer demands as is unused. The own share is reduced before this returns. */
    public fun lend(requested: List<QuotaDemand>, limit: Int): List<QuotaGrant> {
        removeExpired()
        // Two incarnations that lend within one lease could together lend more than is held back after a start.
        if (isHoldingBack || isRetired) return emptyList()
        return requested.take(limit).mapNotNull { lend(it) }
    }

    /** Adds the grants in a reply of [lender] to a request that was sent at [sentAt]. */
    public fun borrow(lender: EntryMember, grants: List<QuotaGrant>, sentAt: Duration) {
        grants.forEach { grant ->
            val until = sentAt + minOf(grant.expiresIn, settings.lease)
            val key = GrantKey(lender.instance, lender.incarnation, grant.number)
            borrowed.getOrPut(grant.team) { HashMap() }.putIfAbsent(key, BorrowedShare(grant.startsPerSecond, until))
        }
        removeExpired()
    }

    /** The time to pass to [borrow] for a request that is sent now. */
    public fun requestTime(): Duration = now

    private fun lend(demand: QuotaDemand): QuotaGrant? {
        val baseShare = baseShare(demand.team) ?: return null
        val lentNow = lentOf(demand.team)
        val needed = (demands[demand.team] ?: 0.0) * HEADROOM
        val spare = minOf(ownShare(demand.team) - needed, baseShare * settings.maxLentRatio - lentNow)
        // Half of the unused share is kept for the next peer that asks.
        val amount = minOf(demand.startsPerSecond, spare / 2)
        if (amount < baseShare * NEGLIGIBLE_RATIO) return null
        lent.getOrPut(demand.team) { ArrayList() } += LentShare(amount, now + settings.lease + settings.margin)
        return QuotaGrant(demand.team, amount, settings.lease, ++lastGrantNumber)
    }

    private fun baseShare(team: TeamId): Double? = quotas[team]?.let { it / shareCount }

    private fun ownShare(team: TeamId): Double {
        val baseShare = baseShare(team) ?: return 0.0
        val heldBack = if (isHoldingBack) baseShare * settings.maxLentRatio else 0.0
        return (baseShare - lentOf(team) - heldBack).coerceAtLeast(0.0)
    }

    private fun lentOf(team: TeamId): Double = lent[team]?.sumOf { it.startsPerSecond } ?: 0.0

    private fun borrowedOf(team: TeamId): Double = borrowed[team]?.values?.sumOf { it.startsPerSecond } ?: 0.0

    private fun removeExpired() {
        val now = now
        lent.values.forEach { grants -> grants.removeIf { it.until <= now } }
        borrowed.values.forEach { grants -> grants.values.removeIf { it.until <= now } }
    }

    private companion object {
        /** Demand varies within a lease, and the lender can't reclaim its share before the lease ends. */
        const val HEADROOM = 1.25

        /** Smaller amounts, relative to the share, are not worth a message: they are neither lent nor demanded. */
        const val NEGLIGIBLE_RATIO = 0.01
    }
}

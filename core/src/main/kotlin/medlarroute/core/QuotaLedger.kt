package medlarroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Settings of quota lending.
 *
 * @property lease time for which a grant holds.
 * @property margin additional time for which the lender does without: covers differing clock rates, and the time until
 * the borrower's engine is told that a grant has ended.
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
 * Each quota is divided evenly into slots: one for each instance that any failure domain may have. Unused share is lent
 * to peers by grants that expire. The sum of the usable shares of all slots never exceeds the quota, whatever messages
 * are lost or late: the lender lowers its share before it replies, and the borrower counts the time of a grant from the
 * moment it sent the request, which is before the lender began to count. After a start, an instance uses only what its
 * slot can't have lent in an earlier process life, until those grants have ended. Not thread-safe.
 *
 * @param slots slots of all failure domains together.
 */
public class QuotaLedger(
    private val slots: Int,
    private val settings: LendingSettings = LendingSettings(),
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Lent(val startsPerSecond: Double, val until: Duration)

    private class Borrowed(val startsPerSecond: Double, val until: Duration)

    private data class GrantKey(val lender: InstanceId, val incarnation: Incarnation, val number: Long)

    private val origin = clock.markNow()
    private val quotas = HashMap<TeamId, Double>()
    private val lent = HashMap<TeamId, MutableList<Lent>>()
    private val borrowed = HashMap<TeamId, MutableMap<GrantKey, Borrowed>>()
    private var demands: Map<TeamId, Double> = emptyMap()
    private var lastNumber = 0L

    private var isRetired = false

    private val now: Duration get() = origin.elapsedNow()

    private val isHolding: Boolean get() = now < settings.lease + settings.margin

    /** Takes the quotas of new rules, in starts per second. */
    public fun quotasChanged(quotas: Map<TeamId, Double>) {
        this.quotas.clear()
        this.quotas.putAll(quotas)
    }

    /** Takes the starts per second that each team asks for on this instance. */
    public fun demandChanged(startsPerSecond: Map<TeamId, Double>) {
        demands = startsPerSecond
    }

    /** Starts per second that this instance may use for each team with a quota. */
    public fun shares(): Map<TeamId, Double> {
        forgetEnded()
        return quotas.mapValues { (team, _) -> if (isRetired) 0.0 else own(team) + borrowedOf(team) }
    }

    /** Uses nothing from now on: another process holds the slot of this one. */
    public fun retire() {
        isRetired = true
    }

    /** What to ask of each of [peers] peers that are contacted now: the largest needs first, at most [limit]. */
    public fun demands(peers: Int, limit: Int): List<QuotaDemand> {
        val shares = shares()
        return shares.mapNotNull { (team, share) ->
            val missing = (demands[team] ?: 0.0) * HEADROOM - share
            if (missing < share * NEGLIGIBLE_RATIO) null else QuotaDemand(team, missing / peers.coerceAtLeast(1))
        }.sortedByDescending { it.startsPerSecond }.take(limit)
    }

    /** Lends what a peer asks for, as far as there is unused share. The own share is lower when this returns. */
    public fun lend(asked: List<QuotaDemand>, limit: Int): List<QuotaGrant> {
        forgetEnded()
        // Two process lives of a slot that lend within one lease could together lend more than is held back at a start.
        if (isHolding || isRetired) return emptyList()
        return asked.take(limit).mapNotNull { lend(it) }
    }

    /** Takes grants out of a reply of [lender] to a request that was sent at [sentAt]. */
    public fun borrow(lender: EntryMember, grants: List<QuotaGrant>, sentAt: Duration) {
        grants.forEach { grant ->
            val until = sentAt + minOf(grant.expiresIn, settings.lease)
            val key = GrantKey(lender.instance, lender.incarnation, grant.number)
            borrowed.getOrPut(grant.team) { HashMap() }.putIfAbsent(key, Borrowed(grant.startsPerSecond, until))
        }
        forgetEnded()
    }

    /** The time to pass to [borrow] for a request that is sent now. */
    public fun requestTime(): Duration = now

    private fun lend(asked: QuotaDemand): QuotaGrant? {
        val base = base(asked.team) ?: return null
        val lentNow = lentOf(asked.team)
        val need = (demands[asked.team] ?: 0.0) * HEADROOM
        val spare = minOf(own(asked.team) - need, base * settings.maxLentRatio - lentNow)
        // Half of the spare share is kept for the next one that asks.
        val amount = minOf(asked.startsPerSecond, spare / 2)
        if (amount < base * NEGLIGIBLE_RATIO) return null
        lent.getOrPut(asked.team) { ArrayList() } += Lent(amount, now + settings.lease + settings.margin)
        return QuotaGrant(asked.team, amount, settings.lease, ++lastNumber)
    }

    private fun base(team: TeamId): Double? = quotas[team]?.let { it / slots }

    private fun own(team: TeamId): Double {
        val base = base(team) ?: return 0.0
        val mayBeLent = if (isHolding) base * settings.maxLentRatio else 0.0
        return (base - lentOf(team) - mayBeLent).coerceAtLeast(0.0)
    }

    private fun lentOf(team: TeamId): Double = lent[team]?.sumOf { it.startsPerSecond } ?: 0.0

    private fun borrowedOf(team: TeamId): Double = borrowed[team]?.values?.sumOf { it.startsPerSecond } ?: 0.0

    private fun forgetEnded() {
        val now = now
        lent.values.forEach { grants -> grants.removeIf { it.until <= now } }
        borrowed.values.forEach { grants -> grants.values.removeIf { it.until <= now } }
    }

    private companion object {
        /** Demand varies within a lease; the lender can't take its share back before the lease ends. */
        const val HEADROOM = 1.25

        /** Smaller amounts are not worth a message. */
        const val NEGLIGIBLE_RATIO = 0.01
    }
}

package medlarroute.dispatch

import kotlin.time.TimeSource

/** Changes of ownership on this instance. */
public interface OwnershipListener {
    public fun owned(failureDomain: String, token: Long)

    public fun disowned(failureDomain: String)
}

/**
 * Decides which failure domains' backend servers this instance orders.
 *
 * In a small deployment one instance owns all failure domains that it reaches; the owner of the most stays. In a large
 * one each failure domain has an owner of its own, an instance there. Then the strongest goes first, then the most
 * senior.
 *
 * The record in the store is the witness: an owner that peers don't hear is replaced only when its record has not been
 * renewed for [OwnershipSettings.staleMs]. If the store can't be reached either, an instance takes a failure domain
 * over only if it hears more than half of the instances there. Backend servers refuse all but the highest token, so
 * two owners never both order one of them.
 *
 * Not thread-safe.
 */
public class Ownership(
    private val self: PeerMember,
    private val failureDomains: List<String>,
    private val settings: OwnershipSettings,
    clock: TimeSource.WithComparableMarks,
    private val store: FleetStore,
    private val listener: OwnershipListener,
    private val log: EventLog,
) {
    private class Domain(val name: String) {
        var version = 0L
        var record: OwnerRecord? = null

        /** When the record was last seen to change; null before the first reading. */
        var changedAtMs: Long? = null
        var ownedToken: Long? = null

        /** Token under which this instance gave it up; null if it did not, or owns it again. */
        var releasedToken: Long? = null
    }

    private val elapsed = ElapsedClock(clock)
    private val domains = failureDomains.associateWith { Domain(it) }
    private var number = self.number
    private var peers: List<PeerView> = emptyList()
    private var storeCallInFlight = false
    private var nextStoreCallMs = 0L
    private var renewedAtMs = 0L
    private var suspectSinceMs: Long? = null
    private var yieldingSinceMs: Long? = null
    private var leaving = false

    /** Whether each failure domain has an owner of its own, for deployments that are too large for one. */
    public var isSpread: Boolean = false

    /** Tokens of the owned failure domains. */
    public val owned: Map<String, Long>
        get() = domains.values.mapNotNull { domain -> domain.ownedToken?.let { domain.name to it } }.toMap()

    /** Tokens of the failure domains that this instance has given up. */
    public val released: Map<String, Long>
        get() = domains.values.mapNotNull { domain -> domain.releasedToken?.let { domain.name to it } }.toMap()

    private fun nowMs() = elapsed.nowMs()

    /** The store has given this life its number. */
    public fun registered(number: Long) {
        this.number = number
    }

    /**
     * Does what is due.
     *
     * @param openJobs jobs that run under this instance's ownership.
     * @param inContact whether backend servers of an owned failure domain answer; null if none is known.
     */
    public fun tick(peers: List<PeerView>, openJobs: Int = 0, inContact: (String) -> Boolean?) {
        this.peers = peers
        if (leaving) return
        yieldToBetterTokens()
        yieldToBetterOwner(openJobs)
        if (owned.isNotEmpty() && nowMs() - renewedAtMs >= settings.renewMs) renew(inContact)
        claimOrphaned()
    }

    private fun yieldToBetterTokens() {
        for (peer in peers) {
            if (peer.life != PeerLife.ALIVE) continue
            for ((name, token) in peer.owned) {
                val mine = domains[name]?.ownedToken ?: continue
                if (token > mine) lose(name, "peer ${peer.member.instance} has token $token")
            }
        }
    }

    /** Gives up what another instance should own: the strongest, or, after a partition, the owner of the most. */
    private fun yieldToBetterOwner(openJobs: Int) {
        val better = betterOwners()
        if (better.isEmpty()) {
            yieldingSinceMs = null
            return
        }
        val since = yieldingSinceMs ?: nowMs().also { yieldingSinceMs = it }
        // Only a planned move waits for open jobs: after a partition two owners have parts of what each needs.
        if ((openJobs == 0 && owned.size == better.size) || nowMs() - since >= settings.yieldMs) {
            yieldingSinceMs = null
            release(better.keys, "better placed: ${better.values.first().member.instance}")
        }
    }

    /** Owned failure domains that another instance should own, with that instance. */
    private fun betterOwners(): Map<Domain, PeerView> {
        val mine = domains.values.filter { it.ownedToken != null }
        if (mine.isEmpty()) return emptyMap()
        val others = peers.filter { it.life == PeerLife.ALIVE && !it.leaving }
        val better = HashMap<Domain, PeerView>()
        for (domain in mine) {
            others.filter {
                isBetterFor(domain, it, mine.size)
            }.minWithOrNull(compareBy(PeerMember.BY_PREFERENCE) { it.member })
                ?.let { better[domain] = it }
        }
        return better
    }

    private fun isBetterFor(domain: Domain, peer: PeerView, ownedCount: Int): Boolean {
        val theirs = rank(domain, peer.member.failureDomain, peer.owned.size)
        val mine = rank(domain, self.failureDomain, ownedCount)
        val isStronger = peer.member.strength * WEAKER_FACTOR > self.strength * STRONGER_FACTOR
        if (isSpread) return theirs > mine || (theirs == mine && isStronger)
        if (peer.owned.isEmpty()) return isStronger
        if (ownedCount == domains.size) return false
        return theirs > mine || (theirs == mine && PeerMember.BY_PREFERENCE.compare(peer.member, selfNow()) < 0)
    }

    /** Gives failure domains up so that another instance can own them at once. */
    private fun release(given: Collection<Domain>, reason: String) {
        val released = given.filter { it.ownedToken != null }
        if (released.isEmpty()) return
        val records = released.map {
            VersionedOwner(OwnerRecord(it.name, owner = "", ownerNumber = 0, token = it.ownedToken ?: 0), it.version)
        }
        released.forEach {
            it.releasedToken = it.ownedToken
            lose(it.name, reason)
        }
        store.writeOwners(records) { written(records, it, claims = false) }
    }

    /** Releases all and claims nothing any more. */
    public fun leave() {
        leaving = true
        release(domains.values, "this instance stops")
    }

    /** A backend server of [failureDomain] has obeyed a higher token. */
    public fun fenced(failureDomain: String) {
        if (domains[failureDomain]?.ownedToken != null) lose(failureDomain, "fenced by a backend server")
        suspectSinceMs = null
    }

    private fun lose(name: String, reason: String) {
        val domain = domains.getValue(name)
        log.event("owner", "lost", "failureDomain", name, "token", domain.ownedToken, "reason", reason)
        domain.ownedToken = null
        listener.disowned(name)
    }

    private fun renew(inContact: (String) -> Boolean?) {
        if (storeCallInFlight || nowMs() < nextStoreCallMs) return
        renewedAtMs = nowMs()
        val renewed = domains.values.filter { it.ownedToken != null && inContact(it.name) != false }
        if (renewed.isEmpty()) return
        write(renewed.map { VersionedOwner(record(it.name, it.ownedToken ?: 0), it.version) }, claims = false)
    }

    private fun record(name: String, token: Long) = OwnerRecord(name, self.instance, number, token)

    private fun claimOrphaned() {
        val orphaned = domains.values.filter { isOrphaned(it) && isCandidate(it) }
        if (orphaned.isEmpty()) {
            suspectSinceMs = null
            return
        }
        val since = suspectSinceMs ?: nowMs().also { suspectSinceMs = it }
        orphaned.filter(::isHandedOver).forEach { take(it, nextToken(it)) }
        if (orphaned.all { it.ownedToken != null }) return
        if (storeCallInFlight || nowMs() < nextStoreCallMs) return
        storeCallInFlight = true
        store.readOwners { owners ->
            storeCallInFlight = false
            if (owners != null) {
                note(owners)
                claimByStore()
            } else {
                claimByQuorum(since)
            }
            nextStoreCallMs = nowMs() + settings.retryMs
        }
    }

    /** The last owner has given it up, and says so itself: the record in the store can follow later. */
    private fun isHandedOver(domain: Domain): Boolean {
        val token = peers.filter { it.life == PeerLife.ALIVE }.maxOfOrNull { it.released[domain.name] ?: 0 } ?: 0
        return token > 0 && token >= maxOf(domain.record?.token ?: 0, domain.highestToken)
    }

    private fun isOrphaned(domain: Domain): Boolean {
        if (domain.ownedToken != null) return false
        return peers.none { it.life == PeerLife.ALIVE && domain.name in it.owned }
    }

    /** Who claims [domain] when it has no owner: see [rank]. */
    private fun isCandidate(domain: Domain): Boolean {
        val mine = rank(domain, self.failureDomain, owned.size)
        return peers.none {
            if (it.life != PeerLife.ALIVE || it.leaving) return@none false
            val theirs = rank(domain, it.member.failureDomain, it.owned.size)
            theirs > mine || (theirs == mine && PeerMember.BY_PREFERENCE.compare(it.member, selfNow()) < 0)
        }
    }

    /** With one owner for all, the owner of the most goes first; with one for each, those that are in the domain. */
    private fun rank(domain: Domain, inDomain: String, ownedCount: Int): Int = when {
        !isSpread -> ownedCount
        inDomain == domain.name -> 1
        else -> 0
    }

    private fun selfNow() = self.copy(number = number)

    private fun note(owners: Map<String, VersionedOwner>) {
        for (domain in domains.values) {
            val found = owners[domain.name] ?: VersionedOwner(null, 0)
            if (domain.changedAtMs == null || found.version != domain.version) domain.changedAtMs = nowMs()
            domain.version = found.version
            domain.record = found.record
        }
    }

    private fun claimByStore() {
        if (leaving) return
        val claimable = domains.values.filter { isOrphaned(it) && isCandidate(it) && isFree(it) }
        if (claimable.isEmpty()) return
        write(claimable.map { VersionedOwner(record(it.name, nextToken(it)), it.version) }, claims = true)
    }

    private fun isFree(domain: Domain): Boolean {
        val record = domain.record ?: return true
        if (record.owner.isEmpty()) return true
        if (record.owner == self.instance && record.ownerNumber < number) return true
        val owner = peers.firstOrNull { it.member.instance == record.owner }
        if (owner?.life == PeerLife.ALIVE && owner.member.number > record.ownerNumber) return true
        val staleMs = if (owner?.life == PeerLife.DEAD) settings.staleIfRefusedMs else settings.staleMs
        return nowMs() - (domain.changedAtMs ?: return false) >= staleMs
    }

    /** Without the store: the owner must be out of sight, and most instances of the failure domain in sight. */
    private fun claimByQuorum(since: Long) {
        if (leaving) return
        for (domain in domains.values) {
            if (!isOrphaned(domain) || !isCandidate(domain)) continue
            val there = peers.filter { it.member.failureDomain == domain.name && it.life != PeerLife.DEAD }
            val selfThere = if (self.failureDomain == domain.name) 1 else 0
            val inSight = there.count { it.life == PeerLife.ALIVE } + selfThere
            val isMajority = 2 * inSight > there.size + selfThere
            val ownerIsDead = peers.any { it.life == PeerLife.DEAD && domain.name in it.owned }
            if (isMajority && (ownerIsDead || nowMs() - since >= settings.quorumWaitMs)) {
                log.event(
                    "owner",
                    "claimed-without-store",
                    "failureDomain",
                    domain.name,
                    "inSight",
                    inSight,
                    "of",
                    there.size + selfThere,
                )
                take(domain, nextToken(domain))
            }
        }
    }

    /** Unique among instances by its low digits, and above all that is known. */
    private fun nextToken(domain: Domain): Long {
        val known =
            maxOf(domain.record?.token ?: 0, domain.ownedToken ?: 0, domain.releasedToken ?: 0, domain.highestToken)
        return (known / settings.tokenStep + 1) * settings.tokenStep + settings.tokenSuffix
    }

    private val Domain.highestToken: Long get() = peers.maxOfOrNull {
        maxOf(it.owned[name] ?: 0, it.released[name] ?: 0)
    }
        ?: 0

    private fun take(domain: Domain, token: Long) {
        if (domain.ownedToken == token) return
        domain.ownedToken = token
        domain.releasedToken = null
        renewedAtMs = nowMs()
        log.event("owner", "claimed", "failureDomain", domain.name, "token", token, "recordVersion", domain.version)
        listener.owned(domain.name, token)
    }

    private fun write(records: List<VersionedOwner>, claims: Boolean) {
        storeCallInFlight = true
        store.writeOwners(records) { result ->
            storeCallInFlight = false
            written(records, result, claims)
        }
    }

    private fun written(records: List<VersionedOwner>, result: OwnerWriteResult, claims: Boolean) {
        when (result) {
            is OwnerWriteResult.Written -> {
                for (written in records) {
                    val record = written.record ?: continue
                    val domain = domains.getValue(record.failureDomain)
                    domain.version = result.versions[record.failureDomain] ?: domain.version
                    domain.record = record
                    domain.changedAtMs = nowMs()
                    if (claims && !leaving && isOrphaned(domain)) take(domain, record.token)
                }
            }

            is OwnerWriteResult.Conflict -> {
                note(
                    domains.keys.associateWith { name ->
                        result.owners[name] ?: domains.getValue(name).let { VersionedOwner(it.record, it.version) }
                    },
                )
                domains.values.forEach(::yieldToRecord)
            }

            OwnerWriteResult.Unavailable, OwnerWriteResult.Unknown -> nextStoreCallMs = nowMs() + settings.retryMs
        }
    }

    private fun yieldToRecord(domain: Domain) {
        val mine = domain.ownedToken ?: return
        val record = domain.record ?: return
        if (record.owner != self.instance &&
            record.token > mine
        ) {
            lose(domain.name, "record of ${record.owner} with token ${record.token}")
        }
    }

    private companion object {
        /** An owner gives up to an instance whose machine has more than 1.5 times its processor. */
        const val STRONGER_FACTOR = 3
        const val WEAKER_FACTOR = 2
    }
}

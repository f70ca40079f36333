package medlarroute.dispatch

import kotlin.time.TimeSource

/** Receives changes of the ownership by this instance. */
public interface OwnershipListener {
    /** [wasReleased] tells whether the previous owner has released the failure domain. */
    public fun onAcquired(failureDomain: String, token: Long, wasReleased: Boolean)

    public fun onLost(failureDomain: String)
}

/**
 * Decides in which failure domains this instance controls the backend servers.
 *
 * In a small deployment one instance owns all failure domains that it can reach; after a partition, the owner of the
 * most failure domains remains. In a large deployment each failure domain has an owner of its own, located in that
 * failure domain. Among equal candidates, the strongest machine is preferred, then the most senior instance.
 *
 * An owner that its peers can't reach is replaced only when its record in the store has not been renewed for
 * [OwnershipSettings.staleMs]. If the store is unreachable, too, an instance claims a failure domain only if it can
 * reach more than half of the instances there. Each claim has a higher fencing token, and backend servers reject all
 * but the highest token, so that two owners never control the same backend server.
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
    private val elapsed = ElapsedClock(clock)
    private val domains = failureDomains.associateWith { OwnershipDomain(it) }
    private var number = self.number
    private var peers: List<PeerView> = emptyList()
    private var storeCallInFlight = false
    private var nextStoreCallMs = 0L
    private var renewedAtMs = 0L
    private var unownedSinceMs: Long? = null
    private var yieldingSinceMs: Long? = null
    private var leaving = false
    private val listening = ListeningTime()

    /** Whether each failure domain has an owner of its own, as deployments need that are too large for a single one. */
    public var isPerDomain: Boolean = false

    /** Whether this instance is about to claim a failure domain that has no owner. */
    public val isClaiming: Boolean get() = unownedSinceMs != null

    /** Tokens of the owned failure domains. */
    public val owned: Map<String, Long>
        get() = domains.values.mapNotNull { domain -> domain.ownedToken?.let { domain.name to it } }.toMap()

    /** Tokens of the failure domains that this instance has released. */
    public val released: Map<String, Long>
        get() = domains.values.mapNotNull { domain -> domain.releasedToken?.let { domain.name to it } }.toMap()

    /** Instances to which this instance has released failure domains, by failure domain. */
    public val successors: Map<String, String>
        get() = domains.values.filter { it.releasedToken != null }
            .mapNotNull { domain -> domain.successor?.let { domain.name to it } }
            .toMap()

    private fun nowMs() = elapsed.nowMs()

    /** Sets the registration number that the store has assigned to this incarnation. */
    public fun onRegistered(number: Long) {
        this.number = number
    }

    /**
     * Runs all checks that are due: yields to better owners, renews owned records and claims unowned failure domains.
     *
     * @param openJobs number of jobs that run under this instance's ownership.
     * @param hasContact whether backend servers of an owned failure domain respond; null if none is known.
     */
    public fun tick(peers: List<PeerView>, openJobs: Int = 0, hasContact: (String) -> Boolean?) {
        this.peers = peers
        if (leaving) return
        if (listening.onTick(nowMs())) restartWaits()
        yieldToBetterTokens()
        yieldToBetterOwner(openJobs)
        if (owned.isNotEmpty() && nowMs() - renewedAtMs >= settings.renewMs) renew(hasContact)
        claimUnowned()
    }

    /** What this instance has not seen while it was paused or suspended does not make an owner count as lost. */
    private fun restartWaits() {
        val nowMs = nowMs()
        unownedSinceMs = null
        for (domain in domains.values) {
            domain.unownedSinceMs = null
            domain.changedAtMs = domain.changedAtMs?.let { nowMs }
        }
    }

    private fun yieldToBetterTokens() {
        val lost = HashMap<OwnershipDomain, String>()
        for (peer in peers) {
            if (peer.state != PeerState.ALIVE) continue
            for ((name, token) in peer.owned) {
                val domain = domains[name] ?: continue
                val mine = domain.ownedToken ?: continue
                if (token > mine) lost[domain] = "peer ${peer.member.instance} has token $token"
            }
        }
        lose(lost)
    }

    /** Releases failure domains to a better owner: the strongest, or, after a partition, the owner of the most. */
    private fun yieldToBetterOwner(openJobs: Int) {
        val better = betterOwners()
        if (better.isEmpty()) {
            yieldingSinceMs = null
            return
        }
        val since = yieldingSinceMs ?: nowMs().also { yieldingSinceMs = it }
        // Only a planned move waits for open jobs. After a partition the failure domains are split between two owners,
        // and the jobs of both may need all of them.
        if ((openJobs == 0 && owned.size == better.size) || nowMs() - since >= settings.yieldMs) {
            yieldingSinceMs = null
            release(better.keys, "better owner: ${better.values.first().member.instance}")
        }
    }

    /** Owned failure domains that another instance should own, with that instance. */
    private fun betterOwners(): Map<OwnershipDomain, PeerView> {
        val mine = domains.values.filter { it.ownedToken != null }
        if (mine.isEmpty()) return emptyMap()
        val others = peers.filter { it.state == PeerState.ALIVE && !it.leaving }
        val better = HashMap<OwnershipDomain, PeerView>()
        for (domain in mine) {
            others.filter { isBetterFor(domain, it, mine.size) }
                .minWithOrNull(compareBy(PeerMember.BY_PREFERENCE) { it.member })
                ?.let { better[domain] = it }
        }
        return better
    }

    private fun isBetterFor(domain: OwnershipDomain, peer: PeerView, ownedCount: Int): Boolean {
        val theirs = rank(domain, peer.member.failureDomain, peer.owned.size)
        val mine = rank(domain, self.failureDomain, ownedCount)
        val isStronger = peer.member.strength * WEAKER_FACTOR > self.strength * STRONGER_FACTOR
        if (isPerDomain) return theirs > mine || (theirs == mine && isStronger)
        if (peer.owned.isEmpty()) return isStronger
        if (ownedCount == domains.size) return false
        return theirs > mine || (theirs == mine && PeerMember.BY_PREFERENCE.compare(peer.member, currentSelf()) < 0)
    }

    /** Releases failure domains so that another instance can claim them immediately. */
    private fun release(candidates: Collection<OwnershipDomain>, reason: String) {
        val released = candidates.filter { it.ownedToken != null }
        if (released.isEmpty()) return
        val records = released.map {
            VersionedOwner(OwnerRecord(it.name, owner = "", ownerNumber = 0, token = it.ownedToken ?: 0), it.version)
        }
        released.forEach {
            it.releasedToken = it.ownedToken
            it.successor = successorOrNull(it)
        }
        lose(released.associateWith { reason })
        store.writeOwners(records) { onWritten(records, it, claims = false) }
    }

    /**
     * The best candidate for [domain]. It is chosen by the instance that releases the domain, since the candidates of
     * a large deployment do not see all of each other, and would claim the domain from each other.
     */
    private fun successorOrNull(domain: OwnershipDomain): String? =
        peers.filter { it.state == PeerState.ALIVE && !it.leaving }
            .minWithOrNull(
                compareByDescending<PeerView> { rank(domain, it.member.failureDomain, it.owned.size) }
                    .thenBy(PeerMember.BY_PREFERENCE) { it.member },
            )?.member?.instance

    /** Releases all failure domains and stops claiming any. */
    public fun leave() {
        leaving = true
        release(domains.values, "this instance stops")
    }

    /** A backend server of [failureDomain] has rejected a command or a poll since it has received a higher token. */
    public fun onFenced(failureDomain: String) {
        domains[failureDomain]?.takeIf { it.ownedToken != null }?.let { lose(it, "fenced by a backend server") }
        unownedSinceMs = null
    }

    private fun lose(domain: OwnershipDomain, reason: String) = lose(mapOf(domain to reason))

    /**
     * Marks the failure domains in [reasons] as lost, then reports each. When the first is reported, none of them
     * counts as owned, so that the listener can tell whether any remains.
     */
    private fun lose(reasons: Map<OwnershipDomain, String>) {
        for ((domain, reason) in reasons) {
            log.event("owner", "lost", "failureDomain", domain.name, "token", domain.ownedToken, "reason", reason)
            domain.ownedToken = null
        }
        reasons.keys.forEach { listener.onLost(it.name) }
    }

    private fun renew(hasContact: (String) -> Boolean?) {
        if (storeCallInFlight || nowMs() < nextStoreCallMs) return
        renewedAtMs = nowMs()
        val renewed = domains.values.filter { it.ownedToken != null && hasContact(it.name) != false }
        if (renewed.isEmpty()) return
        write(renewed.map { VersionedOwner(record(it.name, it.ownedToken ?: 0), it.version) }, claims = false)
    }

    private fun record(name: String, token: Long) = OwnerRecord(name, self.instance, number, token)

    private fun claimUnowned() {
        for (domain in domains.values) {
            domain.unownedSinceMs = if (isUnowned(domain)) domain.unownedSinceMs ?: nowMs() else null
        }
        domains.values.filter {
            isUnowned(it) && isHandedOver(it)
        }.forEach { acquire(it, nextToken(it), wasReleased = true) }
        val unowned = domains.values.filter { isUnowned(it) && isCandidate(it) }
        if (unowned.isEmpty()) {
            unownedSinceMs = null
            return
        }
        val since = unownedSinceMs ?: nowMs().also { unownedSinceMs = it }
        if (storeCallInFlight || nowMs() < nextStoreCallMs) return
        storeCallInFlight = true
        store.readOwners { owners ->
            storeCallInFlight = false
            if (owners != null) {
                updateRecords(owners)
                claimByStore()
            } else {
                claimByQuorum(since)
            }
            nextStoreCallMs = nowMs() + settings.retryMs
        }
    }

    /**
     * Whether the last owner reports by itself that it has released [domain] to this instance. It can then be claimed
     * before its record in the store is updated.
     */
    private fun isHandedOver(domain: OwnershipDomain): Boolean {
        val previous = peers.filter { it.state == PeerState.ALIVE && domain.name in it.released }
            .maxByOrNull { it.released[domain.name] ?: 0 } ?: return false
        val token = previous.released[domain.name] ?: 0
        // After a claim with a higher token was fenced, another instance owns the domain.
        val isLast = token >= maxOf(domain.record?.token ?: 0, domain.highestToken, domain.usedToken)
        val successor = previous.successors[domain.name]
        return isLast && if (successor == null) isCandidate(domain) else successor == self.instance
    }

    private fun isUnowned(domain: OwnershipDomain): Boolean {
        if (domain.ownedToken != null) return false
        return peers.none { it.state == PeerState.ALIVE && domain.name in it.owned }
    }

    /** Whether this instance is the one to claim [domain] if it has no owner; see [rank]. */
    private fun isCandidate(domain: OwnershipDomain): Boolean {
        if (isPerDomain && domain.name != self.failureDomain && !mayHaveNoInstance(domain)) return false
        val mine = rank(domain, self.failureDomain, owned.size)
        return peers.none {
            if (it.state != PeerState.ALIVE || it.leaving) return@none false
            val theirs = rank(domain, it.member.failureDomain, it.owned.size)
            theirs > mine || (theirs == mine && PeerMember.BY_PREFERENCE.compare(it.member, currentSelf()) < 0)
        }
    }

    /**
     * Whether [domain] has been without an owner for so long that it may have no instance of its own. When all
     * instances start at the same time, those of the domain need a moment to be seen.
     */
    private fun mayHaveNoInstance(domain: OwnershipDomain): Boolean =
        nowMs() - (domain.unownedSinceMs ?: nowMs()) >= settings.otherDomainWaitMs

    /**
     * Rank of a candidate for [domain], higher is better. A single owner is the owner of the most failure domains;
     * with an owner per failure domain, instances located there are preferred.
     */
    private fun rank(domain: OwnershipDomain, location: String, ownedCount: Int): Int = when {
        !isPerDomain -> ownedCount
        location == domain.name -> 1
        else -> 0
    }

    private fun currentSelf() = self.copy(number = number)

    private fun updateRecords(owners: Map<String, VersionedOwner>) {
        for (domain in domains.values) {
            val found = owners[domain.name] ?: VersionedOwner(null, 0)
            if (domain.changedAtMs == null || found.version != domain.version) domain.changedAtMs = nowMs()
            domain.version = found.version
            domain.record = found.record
        }
    }

    private fun claimByStore() {
        if (leaving) return
        val claimable = domains.values.filter { isUnowned(it) && isCandidate(it) && isClaimable(it) }
        if (claimable.isEmpty()) return
        write(claimable.map { VersionedOwner(record(it.name, nextToken(it)), it.version) }, claims = true)
    }

    /**
     * Whether [domain] has no record, or its record shows that the last owner has released it, has restarted or no
     * longer renews it.
     */
    private fun isClaimable(domain: OwnershipDomain): Boolean {
        val record = domain.record ?: return true
        if (record.owner.isEmpty()) return !isReservedForOther(domain)
        if (record.owner == self.instance && record.ownerNumber < number) return true
        val owner = peers.firstOrNull { it.member.instance == record.owner }
        if (owner?.state == PeerState.ALIVE && owner.member.number > record.ownerNumber) return true
        val staleMs = if (owner?.state == PeerState.DEAD) settings.staleIfRefusedMs else settings.staleMs
        return nowMs() - (domain.changedAtMs ?: return false) >= staleMs
    }

    /** Whether the last owner has released [domain] to another instance, which needs a moment to write its record. */
    private fun isReservedForOther(domain: OwnershipDomain): Boolean {
        val successor = peers.filter { it.state == PeerState.ALIVE }.firstNotNullOfOrNull { it.successors[domain.name] }
        val unownedMs = nowMs() - (domain.unownedSinceMs ?: nowMs())
        return successor != null && successor != self.instance && unownedMs < settings.staleMs
    }

    /** Claims without the store: the owner must be unreachable and most instances of the failure domain reachable. */
    private fun claimByQuorum(since: Long) {
        if (leaving) return
        for (domain in domains.values) {
            if (!isUnowned(domain) || !isCandidate(domain)) continue
            val domainPeers = peers.filter { it.member.failureDomain == domain.name && it.state != PeerState.DEAD }
            val selfCount = if (self.failureDomain == domain.name) 1 else 0
            val reachable = domainPeers.count { it.state == PeerState.ALIVE } + selfCount
            val isMajority = 2 * reachable > domainPeers.size + selfCount
            val ownerIsDead = peers.any { it.state == PeerState.DEAD && domain.name in it.owned }
            if (isMajority && (ownerIsDead || nowMs() - since >= settings.quorumWaitMs)) {
                log.event(
                    "owner",
                    "claimed-without-store",
                    "failureDomain",
                    domain.name,
                    "inSight",
                    reachable,
                    "of",
                    domainPeers.size + selfCount,
                )
                acquire(domain, nextToken(domain))
            }
        }
    }

    /** A token that is higher than all known ones and unique among the instances by its low digits. */
    private fun nextToken(domain: OwnershipDomain): Long {
        val known =
            maxOf(domain.record?.token ?: 0, domain.ownedToken ?: 0, domain.usedToken, domain.highestToken)
        return (known / settings.tokenStep + 1) * settings.tokenStep + settings.tokenSuffix
    }

    /** Highest token of the domain that any peer owns or has released. */
    private val OwnershipDomain.highestToken: Long
        get() = peers.maxOfOrNull { maxOf(it.owned[name] ?: 0, it.released[name] ?: 0) } ?: 0

    private fun acquire(domain: OwnershipDomain, token: Long, wasReleased: Boolean = false) {
        if (domain.ownedToken == token) return
        domain.ownedToken = token
        domain.usedToken = maxOf(domain.usedToken, token)
        domain.releasedToken = null
        renewedAtMs = nowMs()
        log.event("owner", "claimed", "failureDomain", domain.name, "token", token, "recordVersion", domain.version)
        listener.onAcquired(domain.name, token, wasReleased)
    }

    private fun write(records: List<VersionedOwner>, claims: Boolean) {
        storeCallInFlight = true
        store.writeOwners(records) { result ->
            storeCallInFlight = false
            onWritten(records, result, claims)
        }
    }

    private fun onWritten(records: List<VersionedOwner>, result: OwnerWriteResult, claims: Boolean) {
        when (result) {
            is OwnerWriteResult.Written -> {
                for (versioned in records) {
                    val record = versioned.record ?: continue
                    val domain = domains.getValue(record.failureDomain)
                    domain.version = result.versions[record.failureDomain] ?: domain.version
                    domain.record = record
                    domain.changedAtMs = nowMs()
                    if (claims && !leaving && isUnowned(domain)) acquire(domain, record.token)
                }
            }

            is OwnerWriteResult.Conflict -> {
                updateRecords(
                    domains.keys.associateWith { name ->
                        result.owners[name] ?: domains.getValue(name).let { VersionedOwner(it.record, it.version) }
                    },
                )
                yieldToRecords()
            }

            OwnerWriteResult.Unavailable, OwnerWriteResult.Unknown -> nextStoreCallMs = nowMs() + settings.retryMs
        }
    }

    private fun yieldToRecords() {
        val lost = HashMap<OwnershipDomain, String>()
        for (domain in domains.values) {
            val mine = domain.ownedToken ?: continue
            val record = domain.record ?: continue
            if (record.owner != self.instance && record.token > mine) {
                lost[domain] = "record of ${record.owner} with token ${record.token}"
            }
        }
        lose(lost)
    }

    private companion object {
        /** An owner yields to an instance whose machine has more than 1.5 times its processor. */
        const val STRONGER_FACTOR = 3
        const val WEAKER_FACTOR = 2
    }
}

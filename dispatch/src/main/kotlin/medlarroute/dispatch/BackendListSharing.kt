package medlarroute.dispatch

/**
 * Instances to which an owner sends the list of backend servers: the other owners and the next candidates for
 * ownership.
 *
 * A failure domain that is cut off from the store and from the owner only serves its callers if one of its instances
 * has the list. An owner of all failure domains therefore sends it to candidates in each; otherwise each domain has an
 * owner that does.
 */
internal fun backendRecipients(self: PeerMember, peers: List<PeerView>, isPerDomain: Boolean): Set<String> {
    val alive = peers.filter { it.state == PeerState.ALIVE }
        .sortedWith(compareBy(PeerMember.BY_PREFERENCE) { it.member })
    val byDomain = alive.groupBy { it.member.failureDomain }
    val domains = if (isPerDomain) setOf(self.failureDomain) else byDomain.keys
    val candidates = alive.take(OWNER_CANDIDATES) + domains.flatMap { byDomain[it].orEmpty().take(OWNER_CANDIDATES) }
    return (alive.filter { it.owned.isNotEmpty() } + candidates).mapTo(LinkedHashSet()) { it.member.instance }
}

/**
 * Whether [self], which reaches the store and owns nothing, watches the list of backend servers for owners that do not
 * reach the store: the most senior instance that reaches it does.
 */
internal fun watchesBackendsForOthers(
    self: PeerMember,
    peers: List<PeerView>,
    heartbeatOf: (String) -> PeerMessage.Heartbeat?,
): Boolean {
    val alive = peers.filter { it.state == PeerState.ALIVE }
    fun reachesStore(peer: PeerView) = heartbeatOf(peer.member.instance)?.storeReachable
    val isNeeded = alive.any { it.owned.isNotEmpty() && reachesStore(it) == false }
    return isNeeded && alive.none { it.member.number < self.number && reachesStore(it) == true }
}

/** Number of candidates that receive the list: so many of the whole deployment and so many of a failure domain. */
private const val OWNER_CANDIDATES = 3

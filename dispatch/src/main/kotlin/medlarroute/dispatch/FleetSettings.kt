package medlarroute.dispatch

/**
 * Settings of a [FleetInstance].
 *
 * @property failureDomains all failure domains of the deployment.
 * @property seeds peer addresses that are dialed at start, for the case that the store can't be reached.
 * @property perDomainOwnersFrom number of instances from which each failure domain has an owner of its own. A single
 *   owner is limited by its machine, which handles about 700 task starts per second.
 * @property memberGoneMs silence after which an owner removes the registration of an instance, see [MemberRemoval].
 */
public data class FleetSettings(
    val self: PeerMember,
    val failureDomains: List<String>,
    val seeds: List<Pair<String, Int>>,
    val ownership: OwnershipSettings,
    val dispatch: DispatchSettings = DispatchSettings(),
    val network: PeerNetworkSettings = PeerNetworkSettings(),
    val perDomainOwnersFrom: Int = 16,
    val memberGoneMs: Long = MemberRemoval.GONE_MS,
)

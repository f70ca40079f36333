package medlarroute.dispatch

/**
 * Settings of a [FleetInstance].
 *
 * @property failureDomains all failure domains of the deployment.
 * @property spreadFrom from so many instances on, each failure domain has an owner of its own: one machine orders about
 *   700 starts a second.
 * @property seeds addresses where peers may be found while the store can't be reached.
 */
public data class FleetSettings(
    val self: PeerMember,
    val failureDomains: List<String>,
    val seeds: List<Pair<String, Int>>,
    val ownership: OwnershipSettings,
    val dispatch: DispatchSettings = DispatchSettings(),
    val network: PeerNetworkSettings = PeerNetworkSettings(),
    val spreadFrom: Int = 16,
)

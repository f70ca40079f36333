package medlarroute.dispatch

import medlarroute.dispatch.evacuation.EvacuatedDomains
import medlarroute.dispatch.evacuation.EvacuationState

/** Handles the messages of peers, and sends a peer what it lacks when it connects or when its heartbeat shows it. */
internal class PeerMessageHandler(
    private val self: () -> PeerMember,
    private val dispatcher: Dispatcher,
    private val network: PeerNetwork,
    private val entry: EntryService,
    private val submissions: JobSubmissions,
    private val configurations: ConfigurationGate,
    private val evacuation: EvacuationState,
    private val ownerReports: OwnerReports,
    private val memberRemoval: MemberRemoval,
    private val listing: BackendListing,
    private val takeList: (list: BackendList, source: String) -> Boolean,
    private val onEvacuated: (next: EvacuatedDomains, source: String) -> Unit,
    private val onCancelled: (jobs: List<JobId>, source: String) -> Unit,
) {
    /** Peers that don't reach the store and have received the members from this instance. */
    private val withoutStore = HashSet<String>()

    fun onMessage(peer: PeerMember, message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> Unit

            is PeerMessage.Heartbeat -> onHeartbeat(peer, message)

            is PeerMessage.Submit -> submissions.onSubmit(peer.instance, message)

            is PeerMessage.Cancel -> submissions.onCancel(peer.instance, message)

            is PeerMessage.Cancelled -> onCancelled(message.jobs, peer.instance)

            is PeerMessage.OpenRequests -> dispatcher.retainRequests(peer.instance, message.numbers.toSet())

            is PeerMessage.Ended -> entry.onResult(message.number, message.job, message.result)

            is PeerMessage.Moved ->
                entry.onMoved(message.number, message.job, message.progress, message.openAt)

            is PeerMessage.Configuration -> {
                message.evacuated?.let { onEvacuated(it, peer.instance) }
                configurations.onConfiguration(message.configuration)
            }

            is PeerMessage.Backends -> takeList(BackendList(message.version, message.backends), peer.instance)

            is PeerMessage.Histories -> dispatcher.learn(message.histories)

            is PeerMessage.ActiveRuns -> ownerReports.onReceived(peer.instance, message)

            is PeerMessage.Members ->
                message.members.filter { it.instance != self().instance }.forEach(network::addMember)
        }
    }

    private fun onHeartbeat(peer: PeerMember, heartbeat: PeerMessage.Heartbeat) {
        heartbeat.renewal?.let { renewal ->
            network.ageMsOrNull(renewal.heardAtMs)?.let { dispatcher.renew(peer.instance, renewal.requests, it) }
        }
        // Instances that reach the store have the members from there.
        if (heartbeat.storeReachable) {
            withoutStore -= peer.instance
        } else if (withoutStore.add(peer.instance)) {
            network.send(peer.instance, PeerMessage.Members(network.members() + self()))
        }
        if (heartbeat.owned.isNotEmpty()) {
            ownerReports.onOwnerHeard(peer.instance, heartbeat.owned.keys)
        } else {
            ownerReports.forget(peer.instance)
        }
        memberRemoval.onHeartbeat(peer.instance, heartbeat)
        val current = configurations.current ?: return
        val isBehind = evacuation.shouldSend(peer.instance, heartbeat.evacuationVersion)
        if (isBehind || heartbeat.configurationVersion < current.version) {
            network.send(peer.instance, PeerMessage.Configuration(current, evacuation.current))
        }
    }

    fun onConnected(peer: PeerMember) {
        withoutStore -= peer.instance
        evacuation.onConnected(peer.instance)
        ownerReports.forget(peer.instance)
        if (dispatcher.ownedDomains.isNotEmpty()) {
            network.send(peer.instance, PeerMessage.Backends(listing.backends, listing.version))
        }
        val cancelled = dispatcher.cancelledJobs
        if (cancelled.isNotEmpty()) network.send(peer.instance, PeerMessage.Cancelled(cancelled))
        val suspects = dispatcher.histories.filter { it.crashes.isNotEmpty() }
        if (suspects.isNotEmpty()) network.send(peer.instance, PeerMessage.Histories(suspects))
        network.send(peer.instance, PeerMessage.OpenRequests(entry.openRequestsAt(peer.instance)))
        entry.onReconnected(peer.instance)
    }
}

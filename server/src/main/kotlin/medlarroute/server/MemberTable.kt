package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.EntryMember
import medlarroute.core.Heartbeat
import medlarroute.core.HomeRoute
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.InstanceList
import medlarroute.core.Membership
import medlarroute.core.PeerState
import medlarroute.core.QuotaDemand
import medlarroute.core.QuotaGrant
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorNotice

/**
 * [Membership] shared between threads; what it finds out goes to [inputs] in order. Addresses of backend servers are
 * looked up without a lock, since each start needs one.
 */
internal class MemberTable(private val membership: Membership, private val inputs: InputSink) : BackendAddresses {
    @Volatile
    private var addresses: Map<BackendId, BackendAddress> = emptyMap()

    val self: EntryMember @Synchronized get() = membership.self

    val isReplaced: Boolean @Synchronized get() = membership.replaced

    override fun addressOf(id: BackendId): BackendAddress? = addresses[id]

    @Synchronized
    fun peers(): List<PeerState> = membership.peers()

    @Synchronized
    fun listensOn(peerPort: Int): Unit = membership.setListenPorts(peerPort)

    @Synchronized
    fun leave(): Unit = membership.markLeaving()

    @Synchronized
    fun listFetched(list: InstanceList) {
        val found = membership.listFetched(list)
        // The engine must not choose a backend server before its address is known.
        refreshAddresses()
        found.forEach(inputs::offer)
    }

    @Synchronized
    fun listUnchanged(): Unit = offer(membership.listUnchanged())

    @Synchronized
    fun backendContact(id: BackendId, incarnation: Long, isLeaving: Boolean): Unit =
        offer(membership.backendReplied(id, incarnation, isLeaving))

    @Synchronized
    fun targets(): List<EntryMember> = membership.heartbeatTargets()

    @Synchronized
    fun heartbeat(
        rulesVersion: Long,
        grants: List<QuotaGrant> = emptyList(),
        demands: List<QuotaDemand> = emptyList(),
    ): Heartbeat = membership.heartbeat(rulesVersion, grants, demands)

    @Synchronized
    fun received(heartbeat: Heartbeat): Unit = offer(membership.heartbeatReceived(heartbeat))

    @Synchronized
    fun contactFailed(instance: InstanceId): Unit = membership.contactFailed(instance)

    @Synchronized
    fun successorFound(notice: SuccessorNotice): Unit = membership.successorFound(notice)

    @Synchronized
    fun route(home: SubmissionRegistry.Home): HomeRoute = membership.route(home)

    @Synchronized
    fun successorCandidates(): List<EntryMember> = membership.successorCandidates()

    private fun offer(found: List<Input>) {
        if (found.any { it is Input.BackendRemoved }) refreshAddresses()
        found.forEach(inputs::offer)
    }

    private fun refreshAddresses() {
        addresses = membership.backends().associate {
            it.server.id to BackendAddress(it.server.id, it.host, it.port)
        }
    }
}

package medlarroute.server

import medlarroute.core.EntryMember
import medlarroute.core.Heartbeat
import medlarroute.core.PeerSettings
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends heartbeats and replies to those of peers. A request carries demands and its reply carries the grants, so that
 * the borrower can measure the lease of a grant from the time of the request, before the lender issued the grant.
 */
internal class HeartbeatExchange(
    private val settings: PeerSettings,
    private val members: MemberTable,
    private val client: PeerClient,
    private val quotas: QuotaShares,
    private val rules: RulesState,
) {
    private val timeout: Duration = settings.heartbeatIntervalMs.milliseconds

    /** Exchanges heartbeats with the peers selected for this round, or with the seeds while no peer is known. */
    fun sendRound(): CompletableFuture<Boolean> {
        val targets = members.heartbeatTargets()
        val exchanges =
            if (targets.isEmpty()) seeds().map { exchange(it, 1) { } } else targets.map { exchange(it, targets.size) }
        return CompletableFuture.allOf(*exchanges.toTypedArray()).handle { _, _ -> true }
    }

    /** Merges a heartbeat of a peer and returns the reply. */
    fun reply(received: Heartbeat): Heartbeat {
        merge(received)
        // Lending sends the reduced share to the engine before the grant is sent to the peer.
        return members.heartbeat(rules.version, grants = quotas.lend(received.demands))
    }

    private fun exchange(peer: EntryMember, peers: Int): CompletableFuture<Unit> =
        exchange(PeerAddress(peer.host, peer.peerPort), peers) { members.contactFailed(peer.instance) }

    private fun exchange(address: PeerAddress, peers: Int, failed: () -> Unit): CompletableFuture<Unit> {
        val sentAt = quotas.requestTime()
        val heartbeat = members.heartbeat(rules.version, demands = quotas.demands(peers))
        return client.heartbeat(address, heartbeat.toMessage(), timeout).handle { reply, cause ->
            if (cause != null) {
                log.debug("peer: heartbeat to {} failed: {}", address, cause.message)
                failed()
            } else {
                val received = reply.toHeartbeat()
                merge(received)
                quotas.borrow(received.sender, received.grants, sentAt)
            }
        }
    }

    private fun merge(received: Heartbeat) {
        members.heartbeatReceived(received)
        if (members.isReplaced) quotas.retire()
        rules.versionAdvertised(received.rulesVersion, received.sender)
    }

    private fun seeds(): List<PeerAddress> = settings.seeds.mapNotNull { seed ->
        val port = seed.substringAfterLast(':', "").toIntOrNull()
        val address = port?.let { PeerAddress(seed.substringBeforeLast(':'), it) }
        address.takeIf { it != PeerAddress(members.self.host, members.self.peerPort) }
    }

    private companion object {
        val log = LogManager.getLogger(HeartbeatExchange::class.java)
    }
}

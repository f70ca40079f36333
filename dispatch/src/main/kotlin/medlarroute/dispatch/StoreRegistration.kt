package medlarroute.dispatch

import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit

/**
 * Registers this instance with the store, and again if its row was removed. Retries while the store can't be reached.
 *
 * @param onRegistered receives the number that the store has assigned, after [self] has it.
 */
internal class StoreRegistration(
    member: PeerMember,
    private val store: FleetStore,
    private val group: EventLoopGroup,
    private val log: EventLog,
    private val onRegistered: (number: Long) -> Unit,
) {
    /** This instance with the number of its last registration. */
    var self = member
        private set

    /** Whether the store's last list contained a registration of this instance. */
    private var isListed = false

    fun register() {
        store.register(self) { number ->
            if (number == null) {
                group.next().schedule({ register() }, RETRY_MS, TimeUnit.MILLISECONDS)
            } else {
                self = self.copy(number = number)
                onRegistered(number)
            }
        }
    }

    /** An owner removes the row of an instance that it has not heard for long, such as one that was isolated. */
    fun registerIfRemoved(members: List<PeerMember>, isLeaving: Boolean) {
        val wasListed = isListed
        // The list may show the row before the store has confirmed it, so the number of the row is not compared.
        isListed = members.any { it.instance == self.instance }
        val isRemoved = wasListed && !isListed && self.isRegistered
        if (!isRemoved || isLeaving) return
        log.event("instance", "registration-removed", "number", self.number)
        register()
    }

    private companion object {
        const val RETRY_MS = 300L
    }
}

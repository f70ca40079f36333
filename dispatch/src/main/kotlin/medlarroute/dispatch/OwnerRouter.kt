package medlarroute.dispatch

import medlarroute.dispatch.routing.ReportedLoad

/**
 * Sends the jobs of this instance's callers to owners, which may be this instance.
 *
 * @param onResult receives the result of a request that needs no owner.
 */
internal class OwnerRouter(
    private val member: () -> PeerMember,
    private val selection: OwnerSelection,
    private val dispatcher: Dispatcher,
    private val network: PeerNetwork,
    private val submissions: JobSubmissions,
    private val onResult: (request: Long, job: JobId, result: JobResult) -> Unit,
) : OwnerClient {
    private val self: PeerMember get() = member()

    override fun ownerOrNull(): String? = selection.ownerOrNull()

    override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? = selection.nextOrNull(refusedBy)

    override fun isOwner(instance: String): Boolean =
        if (instance == self.instance) {
            dispatcher.ownedDomains.isNotEmpty()
        } else {
            network.heartbeatOf(instance)?.owned?.isNotEmpty() == true
        }

    override fun isAlive(instance: String): Boolean = instance == self.instance || network.isAlive(instance)

    override fun incarnationOrNull(instance: String): Long? {
        val member = if (instance == self.instance) self else network.memberOrNull(instance)
        return member?.takeIf { it.isRegistered }?.number
    }

    override fun submit(owner: String, message: PeerMessage.Submit) {
        if (dispatcher.isCancelled(message.job.id)) {
            return onResult(message.number, message.job.id, JobResult.Cancelled)
        }
        if (owner == self.instance) return submissions.onSubmit(self.instance, message)
        network.send(owner, message.copy(heardAtMs = network.heardAtMsOrNull(owner)))
    }

    override fun cancel(owner: String, message: PeerMessage.Cancel) {
        if (owner == self.instance) {
            submissions.onCancel(self.instance, message)
        } else {
            network.send(owner, message)
        }
    }
}

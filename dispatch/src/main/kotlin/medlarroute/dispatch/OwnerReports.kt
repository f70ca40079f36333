package medlarroute.dispatch

/**
 * What the owners tell each other: runs that go on although their jobs are unknown or have ended, and jobs that are
 * open for long. A new owner is told at once.
 */
internal class OwnerReports(
    private val instance: String,
    private val dispatcher: Dispatcher,
    private val selection: OwnerSelection,
    private val network: PeerNetwork,
    private val domainOwners: DomainOwnerTimes,
    private val log: EventLog,
) {
    /** The other owners that have been told of the runs and jobs here. */
    private var informedOwners: Set<String> = emptySet()
    private var ownerSinceMs = NEVER_MS

    /** End of the time for which this instance listens after a pause; never if it was not paused since. */
    private var listensUntilMs = NEVER_MS

    /** This instance has acquired a failure domain, and may not have owned one before. */
    fun onAcquired(wasOwner: Boolean, wasReleased: Boolean) {
        if (!wasOwner) ownerSinceMs = dispatcher.nowMs()
        // Several failure domains may be acquired together.
        val isNewOwner = dispatcher.nowMs() - ownerSinceMs < CLAIM_MS
        if (isNewOwner && network.views().isNotEmpty()) awaitOwners(wasReleased)
    }

    /**
     * Called every few milliseconds while the process runs. After a pause, others may own failure domains of which this
     * instance has not heard yet. It listens first, then asks all owners for their jobs.
     */
    fun onTick() {
        val nowMs = dispatcher.nowMs()
        if (dispatcher.openJobSystem.onTick(nowMs)) {
            listensUntilMs = nowMs + LISTEN_MS
            dispatcher.openJobSystem.startNothingBefore(listensUntilMs)
        }
        if (listensUntilMs == NEVER_MS || nowMs < listensUntilMs) return
        listensUntilMs = NEVER_MS
        if (dispatcher.ownedDomains.isEmpty()) return
        awaitOwners(wasReleased = true)
        val message = PeerMessage.ActiveRuns(tasks = emptyList(), wantsJobs = true)
        selection.otherOwners().forEach { network.send(it, message) }
    }

    private fun awaitOwners(wasReleased: Boolean) {
        val silenceMs = selection.otherOwners().associateWith(network::silenceMs)
        dispatcher.openJobSystem.awaitOwners(silenceMs, wasReleased, domainOwners.unownedSilenceMs())
    }

    /** A heartbeat of [owner] has arrived, which owns [owned]. */
    fun onOwnerHeard(owner: String, owned: Set<String>) {
        domainOwners.onHeard(owned)
        if (owner !in informedOwners) informNewOwners()
    }

    /** Tells [instance] again as soon as it owns a failure domain: what was sent before may be lost or forgotten. */
    fun forget(instance: String) {
        informedOwners -= instance
    }

    /** Tells owners that have appeared since the last call. */
    fun informNewOwners() {
        if (dispatcher.ownedDomains.isEmpty()) return
        val others = selection.otherOwners()
        val new = others - informedOwners
        informedOwners = others
        if (new.isEmpty()) return
        val remaining = dispatcher.remainingRuns()
        if (remaining.isNotEmpty()) sendRuns(new, remaining)
        dispatcher.openJobSystem.announceNow()
    }

    fun runsRemain(tasks: List<TaskKey>) = sendRuns(selection.otherOwners(), tasks)

    private fun sendRuns(owners: Set<String>, tasks: List<TaskKey>) {
        log.event("dispatch", "runs-remain", "tasks", tasks.size, "first", tasks.first(), "owners", owners.size)
        owners.forEach { network.send(it, PeerMessage.ActiveRuns(tasks)) }
    }

    fun jobsOpen(jobs: OpenJobs) {
        val message = PeerMessage.ActiveRuns(jobs)
        selection.otherOwners().forEach { network.send(it, message) }
    }

    fun onReceived(owner: String, message: PeerMessage.ActiveRuns) {
        dispatcher.learnActiveRuns(message.tasks)
        val hasPrecedence = owner < instance
        val owned = network.heartbeatOf(owner)?.owned?.keys.orEmpty()
        dispatcher.openJobSystem.onAnnounced(owner, message.jobs, hasPrecedence, owned)
        if (message.wantsJobs && dispatcher.ownedDomains.isNotEmpty()) dispatcher.openJobSystem.announceAll()
    }

    private companion object {
        /** Two heartbeat intervals of an owner, with a reserve for new connections. */
        const val LISTEN_MS = 250L

        /** The failure domains of a lost owner are acquired within this time. */
        const val CLAIM_MS = 50L
    }
}

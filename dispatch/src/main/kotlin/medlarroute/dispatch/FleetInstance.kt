package medlarroute.dispatch

import io.netty.channel.EventLoopGroup
import medlarroute.allocation.QueueShare
import medlarroute.dispatch.evacuation.EvacuationState
import medlarroute.dispatch.slowstart.differOnlyInColdTime
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * One instance of the deployment: accepts the jobs of its callers, and runs the jobs of all instances on the backend
 * servers of the failure domains that it owns.
 *
 * Confined to the single event loop of [group]; only [start] is called from outside.
 *
 * @param exit ends the process with a status, on the event loop, after an error that it does not recover from.
 */
public class FleetInstance(
    private val settings: FleetSettings,
    private val group: EventLoopGroup,
    private val store: FleetStore,
    private val commands: BackendCommands,
    clocks: MachineClocks,
    private val exit: (status: Int) -> Unit = { Runtime.getRuntime().halt(it) },
    private val log: EventLog,
) {
    private val clock = clocks.elapsed
    private val suspensions = SuspensionMonitor(clocks)
    private val registration = StoreRegistration(settings.self, store, group, log, ::onRegistered)
    private val self: PeerMember get() = registration.self
    private val network = PeerNetwork({ self }, settings.network, group, clock, PeerEvents(), log)
    private val dispatcher =
        Dispatcher(settings.dispatch, clock, CommandSender(), log)
    private val ownership = Ownership(
        settings.self,
        settings.failureDomains,
        settings.ownership,
        clock,
        store,
        OwnershipChanges(),
        log,
    )
    private val results = RecentResults(clock)
    private val lostInstances = HashSet<String>()
    private val listing = BackendListing(clock)
    private var leaving = false
    private var ticks = 0L
    private val networkTick = guardedTimer(log, exit) { network.tick() }
    private var isMembershipKnown = false
    private val memberRemoval = MemberRemoval(settings.self, store, network::isAlive, log, settings.memberGoneMs)
    private var dispatchTicks: Future<*>? = null
    private val evacuation = EvacuationState(settings.failureDomains, clock, log)
    private val configurations = ConfigurationGate(dispatcher, evacuation, log)
    private val selection = OwnerSelection(
        own = { PeerView(self, PeerState.ALIVE, ownership.owned, leaving) },
        peers = network::views,
        isPerDomain = { ownership.isPerDomain },
        heartbeatOf = network::heartbeatOf,
        ownLoadPercent = dispatcher::loadPercent,
        evacuated = { evacuation.active },
        overflowPercent = settings.dispatch.overflowPercent,
    )
    private val submissions =
        JobSubmissions(settings.self.instance, dispatcher, network, results, ::sendMoved)
    private val ownerClient = OwnerRouter({ self }, selection, dispatcher, network, submissions, ::onResult)
    private val domainOwners = DomainOwnerTimes(
        clock,
        settings.failureDomains,
        ownership::neverOwned,
        selection,
        network::listeningMs,
    )
    private val ownerReports = OwnerReports(settings.self.instance, dispatcher, selection, network, domainOwners, log)

    /** Open requests of this instance's callers. */
    public val entry: EntryService = EntryService(clock, ownerClient, log = log)
    private val peerMessages = PeerMessageHandler(
        { self },
        dispatcher,
        network,
        entry,
        submissions,
        configurations,
        evacuation,
        ownerReports,
        memberRemoval,
        listing,
        ::takeList,
        configurations::onEvacuated,
        ::onCancelled,
    )

    /** The current configuration; null until the first one is received. */
    public val configuration: DispatchConfiguration? get() = configurations.current

    /** Number of open jobs under this instance's ownership. */
    public val openJobs: Int get() = dispatcher.openJobs

    /** Number of tasks that are known to have been on crashed backend servers. */
    public val suspects: Int get() = dispatcher.histories.count { it.possibleCrashes.isNotEmpty() }

    /** Number of backend servers that are reserved for one task each. */
    public val reservedBackends: Int get() = dispatcher.reservedBackends

    /** Number of failure domains that are evacuated, and of the tasks that were therefore not started here. */
    public val evacuatedDomains: Int get() = evacuation.active.size
    public val queueShares: List<QueueShare> get() = dispatcher.queueShares
    public val startsAvoided: Long get() = dispatcher.evacuation.startsAvoided

    /** Number of backend servers under this instance's ownership that get a rising share of the work. */
    public val slowStarts: Int get() = dispatcher.slowStarts

    /** Whether this instance can accept jobs now. */
    public val isReady: Boolean
        get() = !leaving && configuration != null && ownerClient.ownerOrNull() != null &&
            (dispatcher.ownedDomains.isEmpty() || dispatcher.hasReachableBackend)

    /** Opens the port for peers, then registers with the store and connects to the peers. */
    public fun start() {
        network.listen(settings.self.host, settings.self.port)
        group.next().execute {
            registration.register()
            store.watchConfiguration(configurations::onConfiguration) { configurations.onEvacuated(it, "store") }
            store.watchMembers(::onMembers)
            settings.seeds.forEach { (host, port) -> if (host != self.host) network.dialAddress(host, port) }
        }
        scheduleEvery(OWNERSHIP_TICK_MS) { tick() }
    }

    /** One timer for both ticks saves wake-ups. */
    private fun tick() {
        if (ticks++ % (settings.network.heartbeatIntervalMs / OWNERSHIP_TICK_MS) == 0L) networkTick.run()
        ownershipTick()
    }

    /** Runs the timer of the dispatcher only while this instance owns a failure domain, which avoids idle wake-ups. */
    private fun scheduleDispatch() {
        val ticks = dispatchTicks
        if (dispatcher.ownedDomains.isEmpty()) {
            ticks?.cancel(false)
            dispatchTicks = null
        } else if (ticks == null) {
            dispatchTicks = scheduleEvery(DISPATCH_TICK_MS) { dispatcher.tick() }
        }
    }

    private fun scheduleEvery(periodMs: Long, action: () -> Unit): Future<*> =
        group.next()
            .scheduleWithFixedDelay(guardedTimer(log, exit, action), periodMs, periodMs, TimeUnit.MILLISECONDS)

    private fun onRegistered(number: Long) {
        ownership.onRegistered(number)
        log.event("instance", "registered", "number", number)
        network.broadcast(PeerMessage.Hello(self))
    }

    private fun onMembers(members: List<PeerMember>) {
        isMembershipKnown = true
        memberRemoval.onMembers(members)
        registration.registerIfRemoved(members, leaving)
        network.setMembers(members.filter { it.instance != self.instance })
    }

    /** If all failure domains of this instance are evacuated, its jobs go to the owners of others. */
    private fun moveEvacuatedJobs() {
        if (dispatcher.evacuation.hasJobsToMove) {
            dispatcher.evacuation.moveJobs(selection.otherServingOwners(), dispatcher.nowMs())
        }
    }

    private fun noticeSuspension() {
        val suspendedMs = suspensions.newlySuspendedMs()
        if (suspendedMs == 0L) return
        entry.onSuspended(suspendedMs)
        log.event(
            "instance", "suspended", "forMs", suspendedMs,
            "openRequests", entry.openRequests, "openJobs", dispatcher.openJobs, "owned", dispatcher.ownedDomains,
        )
    }

    private fun ownershipTick() {
        noticeSuspension()
        ownerReports.onTick()
        ownership.isPerDomain = network.members().size >= settings.perDomainOwnersFrom
        val peers = network.views()
        // Until the size of the deployment is known, an instance may claim failure domains that it has to release
        // again.
        if (isMembershipKnown || !store.isReachable) {
            ownership.tick(peers, dispatcher.openJobs) { dispatcher.hasRecentContact(it, CONTACT_MS) }
        }
        store.watchBackends(shouldWatchBackends(peers), ::onBackends)
        for (peer in peers) {
            if (peer.state == PeerState.ALIVE) {
                lostInstances -= peer.member.instance
            } else if (lostInstances.add(peer.member.instance)) {
                dispatcher.onInstanceLost(peer.member.instance).forEach { (origin, job, progress) ->
                    sendMoved(origin, job, progress)
                }
            }
        }
        memberRemoval.onTick(dispatcher.nowMs(), isOwner = ownership.owned.isNotEmpty())
        renewJobs()
        if (listing.removeExpired()) applyListing()
        ownerReports.informNewOwners()
        moveEvacuatedJobs()
        entry.tick()
    }

    /** Renews the jobs of this instance's own callers, and withdraws those that other instances no longer renew. */
    private fun renewJobs() {
        submissions.renewOwn(entry)
        dispatcher.withdrawUnrenewed().forEach { (origin, job, progress) -> sendMoved(origin, job, progress) }
    }

    /**
     * Owners watch the list of backend servers, and so do instances that are about to claim a failure domain, since a
     * new owner refuses all jobs until it knows the list.
     */
    private fun shouldWatchBackends(peers: List<PeerView>): Boolean =
        dispatcher.ownedDomains.isNotEmpty() || ownership.isClaiming ||
            (store.isReachable && watchesBackendsForOthers(self, peers, network::heartbeatOf))

    private fun onBackends(list: BackendList) {
        val before = listing.backends
        if (takeList(list, "store") && !differOnlyInColdTime(before, listing.backends)) sendBackends()
    }

    private fun takeList(list: BackendList, source: String): Boolean {
        val isTaken = listing.update(list)
        if (isTaken) {
            applyListing()
        } else {
            log.event("backend", "list-ignored", "version", list.version, "known", listing.version, "from", source)
        }
        return isTaken
    }

    private fun applyListing() {
        if (dispatcher.ownedDomains.isNotEmpty()) dispatcher.updateBackends(listing.backends)
    }

    private fun sendBackends() {
        val message = PeerMessage.Backends(listing.backends, listing.version)
        backendRecipients(self, network.views(), ownership.isPerDomain).forEach { network.send(it, message) }
    }

    /** Number of jobs of [queue] that wait for their first start under this instance's ownership. */
    public fun waitingJobs(queue: QueueId): Int = dispatcher.waitingJobs(queue)

    /**
     * Cancels [job] for all callers, also if it is not known here or a copy of its request arrives later. All instances
     * are told; one that can't be reached now is told when it connects.
     */
    public fun cancel(job: JobId) {
        onCancelled(listOf(job), self.instance)
        network.broadcast(PeerMessage.Cancelled(listOf(job)))
    }

    private fun onCancelled(jobs: List<JobId>, source: String) {
        for (job in jobs.filter(dispatcher::cancelForAll)) {
            log.event("instance", "job-cancelled", "job", job, "from", source)
            entry.cancelAll(job)
        }
    }

    /**
     * Hands over to the other instances. Open requests of this instance's callers continue until they have their
     * results.
     */
    public fun leave() {
        if (leaving) return
        leaving = true
        log.event("instance", "leaving", "openRequests", entry.openRequests, "openJobs", dispatcher.openJobs)
        ownership.leave()
        network.sendHeartbeatNow()
    }

    private fun heartbeat() =
        PeerMessage.Heartbeat(
            configuration?.version ?: 0,
            ownership.owned,
            ownership.released,
            ownership.successors,
            if (dispatcher.ownedDomains.isEmpty()) 0 else dispatcher.loadPercent(),
            if (dispatcher.ownedDomains.isEmpty()) emptyMap() else selection.otherLoads(),
            store.isReachable,
            leaving,
            evacuationVersion = evacuation.heartbeatVersion,
            missing = memberRemoval.missing,
            heard = memberRemoval.heard(),
        )

    private inner class OwnershipChanges : OwnershipListener {
        override fun onAcquired(failureDomain: String, token: Long, wasReleased: Boolean) {
            val wasOwner = dispatcher.ownedDomains.isNotEmpty()
            dispatcher.acquire(failureDomain, token, wasReleased)
            ownerReports.onAcquired(wasOwner, wasReleased)
            dispatcher.updateBackends(listing.backends)
            network.sendHeartbeatNow()
            dispatcher.tick()
            scheduleDispatch()
        }

        override fun onLost(failureDomain: String) {
            if (ownership.owned.isEmpty()) {
                val moved = dispatcher.handOver()
                dispatcher.release(failureDomain)
                network.sendHeartbeatNow()
                moved.forEach { (origin, job, progress) -> sendMoved(origin, job, progress) }
            } else {
                dispatcher.release(failureDomain)
            }
            scheduleDispatch()
        }
    }

    private fun onResult(request: Long, job: JobId, result: JobResult) = entry.onResult(request, job, result)

    private fun sendMoved(origin: JobOrigin, job: JobId, progress: JobProgress, openAt: String? = null) {
        if (origin.instance == self.instance) {
            entry.onMoved(origin.request, job, progress, openAt)
        } else {
            network.send(origin.instance, PeerMessage.Moved(origin.request, job, progress, openAt))
        }
    }

    private inner class CommandSender : DispatchActions {
        override fun start(command: StartCommand) = commands.start(command) { dispatcher.onStartResult(command, it) }

        override fun stop(command: StopCommand) = commands.stop(command) {
            dispatcher.onStopResult(command, it)
            if (!it) {
                log.event(
                    "dispatch",
                    "stop-unanswered",
                    "job",
                    command.task.job,
                    "task",
                    command.task,
                    "backend",
                    command.backend.id,
                )
            }
        }

        override fun poll(request: PollRequest, number: Long) =
            commands.poll(request) { dispatcher.onPollResult(request, number, it) }

        override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) {
            if (origin.instance == self.instance) return entry.onResult(origin.request, job, result)
            results.record(origin, job, result)
            network.send(origin.instance, PeerMessage.Ended(origin.request, job, result))
        }

        override fun historiesChanged(histories: List<TaskHistory>) =
            network.broadcast(PeerMessage.Histories(histories))

        override fun runsRemain(tasks: List<TaskKey>) = ownerReports.runsRemain(tasks)

        override fun jobsOpen(jobs: OpenJobs) = ownerReports.jobsOpen(jobs)

        override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) =
            sendMoved(origin, job, progress, owner)

        override fun onFenced(failureDomain: String) = ownership.onFenced(failureDomain)
    }

    private inner class PeerEvents : PeerListener {
        override fun onMessage(peer: PeerMember, message: PeerMessage) = peerMessages.onMessage(peer, message)

        override fun onConnected(peer: PeerMember) = peerMessages.onConnected(peer)

        override fun heartbeat(): PeerMessage.Heartbeat = this@FleetInstance.heartbeat()

        override fun openRequests(): Map<String, List<Long>> = entry.openRequestsByOwner()

        override fun partners(): Set<String> = entry.owners() + dispatcher.waitingInstances
    }

    private companion object {
        const val OWNERSHIP_TICK_MS = 50L
        const val DISPATCH_TICK_MS = 20L

        /** Time without a response of any backend server after which a failure domain counts as unreachable. */
        const val CONTACT_MS = 1_000L
    }
}

package medlarroute.dispatch

import io.netty.channel.EventLoopGroup
import medlarroute.allocation.QueueShare
import medlarroute.dispatch.evacuation.EvacuatedDomains
import medlarroute.dispatch.evacuation.EvacuationState
import medlarroute.dispatch.routing.ToldLoad
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
    private var self = settings.self
    private val network = PeerNetwork({ self }, settings.network, group, clock, PeerMessageHandler(), log)
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

    /** Peers that don't reach the store and have received the members from this instance. */
    private val withoutStore = HashSet<String>()
    private val listing = BackendListing(clock)
    private var leaving = false
    private var lastTickAtMs = 0L
    private var ticks = 0L
    private val networkTick = guardedTimer(log, exit) { network.tick() }
    private var isMembershipKnown = false

    /** Whether the store's last list contained a registration of this instance. */
    private var isListed = false
    private val memberRemoval = MemberRemoval(settings.self, store, network::isAlive, log, settings.memberGoneMs)
    private var dispatchTicks: Future<*>? = null
    private val ownerClient = OwnerRouter()
    private val evacuation = EvacuationState(settings.failureDomains, clock, log)

    /** A configuration that is not in force yet since the evacuated failure domains are unknown. */
    private var pendingConfiguration: DispatchConfiguration? = null
    private val selection = OwnerSelection(
        own = { PeerView(self, PeerState.ALIVE, ownership.owned, leaving) },
        peers = network::views,
        isPerDomain = { ownership.isPerDomain },
        heartbeatOf = network::heartbeatOf,
        ownLoadPercent = dispatcher::loadPercent,
        evacuated = { evacuation.active },
        overflowPercent = settings.dispatch.overflowPercent,
    )
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

    /** The current configuration; null until the first one is received. */
    public var configuration: DispatchConfiguration? = null
        private set

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
            register()
            store.watchConfiguration(::onConfiguration) { onEvacuated(it, "store") }
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

    private fun register() {
        store.register(self) { number ->
            if (number == null) {
                group.next().schedule({ register() }, REGISTER_RETRY_MS, TimeUnit.MILLISECONDS)
            } else {
                self = self.copy(number = number)
                ownership.onRegistered(number)
                log.event("instance", "registered", "number", number)
                network.broadcast(PeerMessage.Hello(self))
            }
        }
    }

    private fun onMembers(members: List<PeerMember>) {
        isMembershipKnown = true
        memberRemoval.onMembers(members)
        registerIfRemoved(members)
        network.setMembers(members.filter { it.instance != self.instance })
    }

    /** An owner removes the row of an instance that it has not heard for long, such as one that was isolated. */
    private fun registerIfRemoved(members: List<PeerMember>) {
        val wasListed = isListed
        // The list may show the row before the store has confirmed it, so the number of the row is not compared.
        isListed = members.any { it.instance == self.instance }
        val isRemoved = wasListed && !isListed && self.isRegistered
        if (!isRemoved || leaving) return
        log.event("instance", "registration-removed", "number", self.number)
        register()
    }

    /** As without a configuration, this instance starts no task before it knows the evacuated failure domains. */
    private fun onConfiguration(next: DispatchConfiguration) {
        if (evacuation.current == null) {
            if (next.version > (pendingConfiguration?.version ?: 0)) pendingConfiguration = next
            return
        }
        val current = configuration
        if (current != null && next.version <= current.version) return
        configuration = next
        log.event(
            "configuration",
            "in-force",
            "version",
            next.version,
            "was",
            current?.version,
            "queues",
            next.queues.size,
        )
        dispatcher.configure(next)
    }

    private fun onEvacuated(next: EvacuatedDomains, source: String) {
        if (!evacuation.offer(next, source)) return
        dispatcher.evacuation.evacuate(evacuation.active, dispatcher.nowMs())
        pendingConfiguration?.let(::onConfiguration)
        pendingConfiguration = null
    }

    /** If all failure domains of this instance are evacuated, its jobs go to the owners of others. */
    private fun moveEvacuatedJobs() {
        if (dispatcher.evacuation.isNeeded) {
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
        // What has arrived before the last tick has been read, also if the process was paused since.
        val nowMs = dispatcher.nowMs()
        dispatcher.renew(self.instance, entry.openRequestsAt(self.instance), nowMs - lastTickAtMs)
        lastTickAtMs = nowMs
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

    private inner class OwnerRouter : OwnerClient {
        override fun ownerOrNull(): String? = selection.ownerOrNull()

        override fun nextOrNull(refusedBy: Set<String>): ToldLoad? = selection.nextOrNull(refusedBy)

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
                return entry.onResult(message.number, message.job.id, JobResult.Cancelled)
            }
            if (owner == self.instance) return onSubmit(self.instance, message)
            network.send(owner, message.copy(heardAtMs = network.heardAtMsOrNull(owner)))
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            if (owner == self.instance) onCancel(self.instance, message) else network.send(owner, message)
        }
    }

    private fun onSubmit(instance: String, message: PeerMessage.Submit) {
        val origin = JobOrigin(instance, message.number)
        val recorded = results.find(origin, message.job.id)
        // A job that was sent on already is run here, so that two owners can't send it back and forth.
        val openAt = if (message.progress == null) dispatcher.openJobSystem.otherOwnerOrNull(message.job.id) else null
        when {
            recorded != null -> network.send(instance, PeerMessage.Ended(message.number, message.job.id, recorded))

            dispatcher.ownedDomains.isEmpty() -> sendMoved(origin, message.job.id, message.progress ?: JobProgress())

            openAt != null && network.isAlive(openAt) -> sendMoved(origin, message.job.id, NOT_STARTED, openAt)

            else -> dispatcher.submit(
                message.job,
                origin,
                message.timeoutMs,
                message.waitedMs,
                message.progress,
                renewedMsAgo(instance, message),
                message.unreadMs,
            )
        }
    }

    /** Time since [instance] has certainly waited for the job; longer than any lease if that is unknown. */
    private fun renewedMsAgo(instance: String, message: PeerMessage.Submit): Long {
        if (instance == self.instance) return dispatcher.nowMs() - lastTickAtMs
        val ageMs = message.heardAtMs?.let(network::ageMsOrNull)
        // The instance renews the request as soon as it has received a recent time.
        if (ageMs == null || ageMs > RECENT_MS) network.sendHeartbeatNow(instance)
        return ageMs ?: UNKNOWN_AGE_MS
    }

    private fun onCancel(instance: String, message: PeerMessage.Cancel) {
        dispatcher.cancel(message.job, JobOrigin(instance, message.number), "caller left")
    }

    private inner class PeerMessageHandler : PeerListener {
        override fun onMessage(peer: PeerMember, message: PeerMessage) {
            when (message) {
                is PeerMessage.Hello -> Unit

                is PeerMessage.Heartbeat -> onHeartbeat(peer, message)

                is PeerMessage.Submit -> onSubmit(peer.instance, message)

                is PeerMessage.Cancel -> onCancel(peer.instance, message)

                is PeerMessage.Cancelled -> onCancelled(message.jobs, peer.instance)

                is PeerMessage.OpenRequests -> dispatcher.retainRequests(peer.instance, message.numbers.toSet())

                is PeerMessage.Ended -> entry.onResult(message.number, message.job, message.result)

                is PeerMessage.Moved ->
                    entry.onMoved(message.number, message.job, message.progress, message.openAt)

                is PeerMessage.Configuration -> {
                    message.evacuated?.let { onEvacuated(it, peer.instance) }
                    onConfiguration(message.configuration)
                }

                is PeerMessage.Backends -> takeList(BackendList(message.version, message.backends), peer.instance)

                is PeerMessage.Histories -> dispatcher.learn(message.histories)

                is PeerMessage.ActiveRuns -> ownerReports.onReceived(peer.instance, message)

                is PeerMessage.Members ->
                    message.members.filter { it.instance != self.instance }.forEach(network::addMember)
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
                network.send(peer.instance, PeerMessage.Members(network.members() + self))
            }
            if (heartbeat.owned.isNotEmpty()) {
                ownerReports.onOwnerHeard(peer.instance, heartbeat.owned.keys)
            } else {
                ownerReports.forget(peer.instance)
            }
            memberRemoval.onHeartbeat(peer.instance, heartbeat)
            val current = configuration ?: return
            val isBehind = evacuation.shouldSend(peer.instance, heartbeat.evacuationVersion)
            if (isBehind || heartbeat.configurationVersion < current.version) {
                network.send(peer.instance, PeerMessage.Configuration(current, evacuation.current))
            }
        }

        override fun onConnected(peer: PeerMember) {
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

        override fun heartbeat(): PeerMessage.Heartbeat = this@FleetInstance.heartbeat()

        override fun openRequests(): Map<String, List<Long>> = entry.openRequestsByOwner()

        override fun partners(): Set<String> = entry.owners() + dispatcher.waitingInstances
    }

    private companion object {
        val NOT_STARTED = JobProgress(ordered = emptyList())
        const val OWNERSHIP_TICK_MS = 50L
        const val DISPATCH_TICK_MS = 20L
        const val REGISTER_RETRY_MS = 300L

        /** A job that was renewed within this time starts at once on most backend servers. */
        const val RECENT_MS = 300L

        /** Longer than any lease. */
        const val UNKNOWN_AGE_MS = 60_000L

        /** Time without a response of any backend server after which a failure domain counts as unreachable. */
        const val CONTACT_MS = 1_000L
    }
}

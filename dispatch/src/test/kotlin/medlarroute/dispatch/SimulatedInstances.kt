package medlarroute.dispatch

import medlarroute.dispatch.routing.ReportedLoad
import kotlin.random.Random
import kotlin.time.TimeSource

/** What all simulated instances of a scenario share. */
internal class SimulatedFleet(
    val sim: SimulatedBackends,
    private val time: TimeSource.WithComparableMarks,
    val random: Random,
    val ownerNames: List<String>,
    val entryNames: List<String>,
    val failureDomains: List<String>,
    goSilent: Boolean = false,
    private val newRate: () -> Double = { 1.0 },
) {
    val links = SimulatedLinks(sim, random, goSilent)
    private var nextNumber = 1L

    fun newClocks() = SimulatedClocks(time, newRate())

    fun newMember(name: String, failureDomain: String) = PeerMember(name, failureDomain, name, 1, nextNumber++)
}

/** An instance that accepts the jobs of callers. It sends them to owners as [FleetInstance] does. */
internal class SimulatedEntry(private val fleet: SimulatedFleet, member: PeerMember) :
    SimulatedProcess(member, fleet.ownerNames, fleet.sim, fleet.links, fleet.random, fleet.newClocks()),
    OwnerClient {
    private val selection = OwnerSelection(
        own = { PeerView(member, PeerState.ALIVE, owned = emptyMap(), leaving = false) },
        peers = ::views,
        isPerDomain = { true },
        heartbeatOf = ::heartbeatOf,
        ownLoadPercent = { 0 },
    )

    val service = EntryService(clock, this, firstNumber = member.number * NUMBERS_PER_PROCESS, fleet.sim.traceLog(name))

    override fun ownerOrNull(): String? = selection.ownerOrNull()

    override fun nextOrNull(refusedBy: Set<String>): ReportedLoad? = selection.nextOrNull(refusedBy)

    override fun isOwner(instance: String): Boolean = heartbeatOf(instance)?.owned?.isNotEmpty() == true

    override fun incarnationOrNull(instance: String): Long? = memberOrNull(instance)?.number

    override fun submit(owner: String, message: PeerMessage.Submit) {
        sim.trace("$name sends job ${message.job.id} to $owner as ${message.number} progress ${message.progress}")
        send(owner, message.copy(heardAtMs = heardAtMsOrNull(owner)))
    }

    override fun openRequests() = service.openRequestsByOwner()

    override fun cancel(owner: String, message: PeerMessage.Cancel) = send(owner, message)

    override fun heartbeat() = PeerMessage.Heartbeat()

    override fun onMessage(peer: String, message: PeerMessage) {
        when (message) {
            is PeerMessage.Ended -> service.onResult(message.number, message.job, message.result)
            is PeerMessage.Moved -> service.onMoved(message.number, message.job, message.progress, message.openAt)
            else -> Unit
        }
    }

    override fun onConnected(peer: String) {
        send(peer, PeerMessage.OpenRequests(service.openRequestsAt(peer)))
        service.onReconnected(peer)
    }

    override fun ownershipTick() = service.tick()

    private companion object {
        /** More than a process uses. */
        const val NUMBERS_PER_PROCESS = 100_000L
    }
}

/** An instance that may own failure domains, with its dispatcher. It answers entries as [FleetInstance] does. */
internal class SimulatedOwner(
    private val fleet: SimulatedFleet,
    private val ownership: SimulatedOwnership,
    member: PeerMember,
) : SimulatedProcess(
    member,
    fleet.ownerNames + fleet.entryNames,
    fleet.sim,
    fleet.links,
    fleet.random,
    fleet.newClocks(),
),
    OwnerPeers {
    private val controller = fleet.sim.addOwner(name = "$name#${member.number}", peers = this, clock = clock)
    private val results = RecentResults(clock)
    private val selection = OwnerSelection(
        own = { PeerView(member, PeerState.ALIVE, tokens, leaving = false) },
        peers = ::views,
        isPerDomain = { true },
        heartbeatOf = ::heartbeatOf,
        ownLoadPercent = { 0 },
    )
    private val domainOwners = DomainOwnerTimes(clock, fleet.failureDomains, { emptySet() }, selection, ::listeningMs)
    private val lostInstances = HashSet<String>()
    private var informedOwners: Set<String> = emptySet()
    private val released = HashMap<String, Long>()
    private val tokens = HashMap<String, Long>()
    private var resumedAtMs = NEVER_MS
    private var listensUntilMs = NEVER_MS

    /** Failure domains that this process takes to be its own, with their tokens. */
    val owned: Map<String, Long> get() = tokens
    private val dispatcher get() = controller.dispatcher

    private fun otherOwners(): Set<String> = selection.otherOwners()

    override fun start() {
        sim.configure(controller, SimulatedBackends.queue())
        super.start()
    }

    override fun heartbeat() = PeerMessage.Heartbeat(
        configurationVersion = 1,
        owned = tokens.toMap(),
        released = released.toMap(),
        loadPercent = if (tokens.isEmpty()) 0 else dispatcher.loadPercent(),
        ownerLoads = if (tokens.isEmpty()) emptyMap() else otherOwners().associateWith { loadOf(it) },
    )

    private fun loadOf(owner: String) = heartbeatOf(owner)?.loadPercent ?: 0

    fun acquire(failureDomain: String, token: Long) {
        sim.trace("process $name acquires $failureDomain token $token")
        val isFirst = tokens.isEmpty()
        tokens[failureDomain] = token
        dispatcher.acquire(failureDomain, token)
        if (isFirst) awaitOwners(wasReleased = false)
        updateBackends()
        sendHeartbeatNow()
        dispatcher.tick()
    }

    /** As [OwnerReports.onTick]. */
    private fun listenAfterPause() {
        val nowMs = dispatcher.nowMs()
        if (dispatcher.openJobSystem.onTick(nowMs)) {
            listensUntilMs = nowMs + LISTEN_MS
            dispatcher.openJobSystem.startNothingBefore(listensUntilMs)
        }
        if (listensUntilMs == NEVER_MS || nowMs < listensUntilMs) return
        listensUntilMs = NEVER_MS
        if (tokens.isEmpty()) return
        awaitOwners(wasReleased = true)
        otherOwners().forEach { send(it, PeerMessage.ActiveRuns(tasks = emptyList(), wantsJobs = true)) }
    }

    private fun awaitOwners(wasReleased: Boolean) {
        val silenceMs = selection.otherOwners().associateWith(::silenceMs)
        dispatcher.openJobSystem.awaitOwners(silenceMs, wasReleased, domainOwners.unownedSilenceMs())
    }

    fun updateBackends() = dispatcher.updateBackends(sim.backends.values.map { it.info })

    /** Releases [failureDomains], or learns that it has lost them. Jobs move if no failure domain is left. */
    fun lose(failureDomains: Set<String>, isPlanned: Boolean) {
        val lost = failureDomains.filter { it in tokens }
        lost.forEach { domain ->
            sim.trace("process $name loses $domain planned $isPlanned")
            val token = tokens.remove(domain)
            if (isPlanned && token != null) released[domain] = token
        }
        for (domain in lost) {
            val moved = if (tokens.isEmpty()) dispatcher.handOver() else emptyList()
            dispatcher.release(domain)
            if (tokens.isEmpty()) sendHeartbeatNow()
            moved.forEach { (origin, job, progress) -> sendMoved(origin, job, progress) }
        }
    }

    private fun sendMoved(origin: JobOrigin, job: JobId, progress: JobProgress, openAt: String? = null) {
        sim.trace("$name moves job $job of ${origin.instance} progress $progress to $openAt")
        send(origin.instance, PeerMessage.Moved(origin.request, job, progress, openAt))
    }

    override fun ownershipTick() {
        listenAfterPause()
        val replaced = tokens.filter { (domain, token) -> isReplaced(domain, token) }.keys
        if (replaced.isNotEmpty()) lose(replaced, isPlanned = false)
        for (peer in peerNames()) {
            if (isAlive(peer)) {
                lostInstances -= peer
            } else if (lostInstances.add(peer)) {
                onInstanceLost(peer)
            }
        }
        dispatcher.withdrawUnrenewed().forEach { (origin, job, progress) -> sendMoved(origin, job, progress) }
        if (tokens.isNotEmpty()) informNewOwners()
        if (tokens.isNotEmpty()) updateBackends()
    }

    /** Whether a peer with a higher token was heard, or the record in the store has one. */
    private fun isReplaced(domain: String, token: Long): Boolean =
        peerNames().any { (heartbeatOf(it)?.owned?.get(domain) ?: 0) > token } ||
            (sim.nowMs - resumedAtMs > RECORD_READ_MS && ownership.recordedToken(domain) > token)

    private fun onInstanceLost(instance: String) = dispatcher.onInstanceLost(
        instance,
    ).forEach { (origin, job, progress) ->
        sendMoved(origin, job, progress)
    }

    private fun informNewOwners() {
        val others = otherOwners()
        val remaining = if (others.all { it in informedOwners }) emptyList() else dispatcher.remainingRuns()
        if (remaining.isNotEmpty()) sendActiveRuns(others - informedOwners, remaining)
        if (!informedOwners.containsAll(others)) dispatcher.openJobSystem.announceNow()
        informedOwners = others
    }

    private fun sendActiveRuns(owners: Set<String>, tasks: List<TaskKey>) {
        sim.trace("$name tells ${owners.sorted()} of active runs ${tasks.joinToString(" ")} ")
        owners.forEach { send(it, PeerMessage.ActiveRuns(tasks)) }
    }

    override fun onMessage(peer: String, message: PeerMessage) {
        when (message) {
            is PeerMessage.Heartbeat -> {
                message.renewal?.let { renewal ->
                    peerClock.ageMsOrNull(renewal.heardAtMs)?.let { dispatcher.renew(peer, renewal.requests, it) }
                }
                if (message.owned.isEmpty()) informedOwners -= peer
                domainOwners.onHeard(message.owned.keys)
                if (tokens.isNotEmpty() && message.owned.isNotEmpty() && peer !in informedOwners) informNewOwners()
            }

            is PeerMessage.Submit -> onSubmit(peer, message)

            is PeerMessage.Cancel -> dispatcher.cancel(message.job, JobOrigin(peer, message.number), "caller left")

            is PeerMessage.OpenRequests -> dispatcher.retainRequests(peer, message.numbers.toSet())

            is PeerMessage.ActiveRuns -> {
                dispatcher.learnActiveRuns(message.tasks)
                val owned = heartbeatOf(peer)?.owned?.keys.orEmpty()
                dispatcher.openJobSystem.onAnnounced(peer, message.jobs, peer < name, owned)
                if (message.wantsJobs && tokens.isNotEmpty()) dispatcher.openJobSystem.announceAll()
            }

            else -> Unit
        }
    }

    private fun onSubmit(instance: String, message: PeerMessage.Submit) {
        val origin = JobOrigin(instance, message.number)
        val recorded = results.find(origin, message.job.id)
        val openAt = if (message.progress == null) dispatcher.openJobSystem.otherOwnerOrNull(message.job.id) else null
        when {
            recorded != null -> send(instance, PeerMessage.Ended(message.number, message.job.id, recorded))

            tokens.isEmpty() -> sendMoved(origin, message.job.id, message.progress ?: JobProgress())

            openAt != null && isAlive(openAt) -> sendMoved(origin, message.job.id, NOT_STARTED, openAt)

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

    private fun renewedMsAgo(instance: String, message: PeerMessage.Submit): Long {
        val ageMs = message.heardAtMs?.let(peerClock::ageMsOrNull)
        if (ageMs == null || ageMs > RECENT_MS) sendHeartbeatNow(instance)
        return ageMs ?: UNKNOWN_AGE_MS
    }

    override fun onConnected(peer: String) {
        informedOwners -= peer
    }

    override fun jobEnded(origin: JobOrigin, job: JobId, result: JobResult) {
        results.record(origin, job, result)
        send(origin.instance, PeerMessage.Ended(origin.request, job, result))
    }

    override fun runsRemain(tasks: List<TaskKey>) = sendActiveRuns(otherOwners(), tasks)

    override fun jobsOpen(jobs: OpenJobs) {
        val others = otherOwners()
        for (job in jobs.running) sim.trace("$name tells ${others.sorted()} that job $job runs")
        for (job in jobs.waiting) sim.trace("$name tells ${others.sorted()} that job $job waits")
        others.forEach { send(it, PeerMessage.ActiveRuns(jobs)) }
    }

    override fun jobMoved(origin: JobOrigin, job: JobId, progress: JobProgress, owner: String) =
        sendMoved(origin, job, progress, owner)

    override fun onFenced(failureDomain: String) = lose(setOf(failureDomain), isPlanned = false)

    override fun pause() {
        super.pause()
        controller.isFrozen = true
        addDueTimer(dispatcher::tick)
    }

    override fun readMessages() {
        resumedAtMs = sim.nowMs
        val readsPeersFirst = fleet.random.nextBoolean()
        if (readsPeersFirst) super.readMessages()
        controller.isFrozen = false
        if (!readsPeersFirst) super.readMessages()
    }

    override fun kill(losesPower: Boolean) {
        super.kill(losesPower)
        sim.kill(controller)
    }

    private companion object {
        val NOT_STARTED = JobProgress(ordered = emptyList())

        /** An owner that goes on after a pause learns from the store that it was replaced with its next renewal. */
        const val RECORD_READ_MS = 150L
        const val LISTEN_MS = 250L
        const val RECENT_MS = 300L
        const val UNKNOWN_AGE_MS = 60_000L
    }
}

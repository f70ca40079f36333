package medlarroute.dispatch

import io.netty.channel.EventLoopGroup
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/**
 * One instance: takes jobs of its callers, and orders the backend servers of the failure domains that it owns for all
 * instances.
 *
 * Runs on the one event loop of [group]; all calls are made there, except [start].
 */
public class FleetInstance(
    private val settings: FleetSettings,
    private val group: EventLoopGroup,
    private val store: FleetStore,
    private val orders: BackendCommands,
    private val clock: TimeSource.WithComparableMarks,
    private val log: EventLog,
) {
    private var self = settings.self
    private val network = PeerNetwork({ self }, settings.network, group, clock, Peers(), log)
    private val dispatcher =
        Dispatcher(settings.dispatch, clock, Actions(), log)
    private val ownership = Ownership(
        settings.self,
        settings.failureDomains,
        settings.ownership,
        clock,
        store,
        Owned(),
        log,
    )
    private val results = RecentResults(clock)
    private val lostOrigins = HashSet<String>()
    private var backends: List<BackendInfo> = emptyList()
    private var leaving = false
    private var dispatchTicks: Future<*>? = null
    private val link = Link()

    /** Requests of this instance's callers. */
    public val entry: EntryService = EntryService(clock, link, log)

    /** The configuration in force; null before the first is known. */
    public var configuration: DispatchConfiguration? = null
        private set

    /** Jobs that run under this instance's ownership. */
    public val openJobs: Int get() = dispatcher.openJobs

    /** Whether a job submitted now would be taken. */
    public val isReady: Boolean
        get() = !leaving && configuration != null && link.ownerOrNull() != null &&
            (dispatcher.ownedDomains.isEmpty() || dispatcher.hasBackend)

    /** Starts listening to peers, then joins the others. */
    public fun start() {
        network.listen(settings.self.host, settings.self.port)
        group.next().execute {
            register()
            store.watchConfiguration(::configured)
            store.watchMembers(::listed)
            settings.seeds.forEach { (host, port) -> if (host != self.host) network.dialAddress(host, port) }
        }
        every(settings.network.beatMs) { network.tick() }
        every(OWNERSHIP_TICK_MS) { ownershipTick() }
    }

    /** Ticks only while there is something to order, since each timer of each instance costs a wake-up. */
    private fun scheduleDispatch() {
        val ticks = dispatchTicks
        if (dispatcher.ownedDomains.isEmpty()) {
            ticks?.cancel(false)
            dispatchTicks = null
        } else if (ticks == null) {
            dispatchTicks = every(DISPATCH_TICK_MS) { dispatcher.tick() }
        }
    }

    private fun every(periodMs: Long, action: () -> Unit): Future<*> {
        val guarded = Runnable {
            try {
                action()
            } catch (e: RuntimeException) {
                log.event("instance", "tick-failed", "error", e.toString(), "at", e.stackTrace.firstOrNull())
            }
        }
        return group.next().scheduleWithFixedDelay(guarded, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    private fun register() {
        store.register(self) { number ->
            if (number == null) {
                group.next().schedule({ register() }, REGISTER_RETRY_MS, TimeUnit.MILLISECONDS)
            } else {
                self = self.copy(number = number)
                ownership.registered(number)
                log.event("instance", "registered", "number", number)
                network.broadcast(PeerMessage.Hello(self))
            }
        }
    }

    private fun listed(members: List<PeerMember>) {
        network.list(members.filter { it.instance != self.instance })
    }

    private fun configured(next: DispatchConfiguration) {
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

    private fun ownershipTick() {
        ownership.isSpread = network.members().size >= settings.spreadFrom
        val peers = network.views()
        ownership.tick(peers, dispatcher.openJobs) { dispatcher.isInContact(it, CONTACT_MS) }
        store.watchBackends(shouldWatchBackends(peers), ::backendsListed)
        for (peer in peers) {
            if (peer.life == PeerLife.ALIVE) {
                lostOrigins -= peer.member.instance
            } else if (lostOrigins.add(peer.member.instance)) {
                dispatcher.originLost(peer.member.instance).forEach { (origin, job, progress) ->
                    tellMoved(origin, job, progress)
                }
            }
        }
        entry.tick()
    }

    /** Owners watch the list of backend servers; if the store turns one away, the most senior other watches for it. */
    private fun shouldWatchBackends(peers: List<PeerView>): Boolean {
        if (dispatcher.ownedDomains.isNotEmpty()) return true
        val alive = peers.filter { it.life == PeerLife.ALIVE }
        val needsHelp = alive.any {
            it.owned.isNotEmpty() && network.beatOf(it.member.instance)?.storeReachable == false
        }
        if (!needsHelp || !store.isReachable) return false
        return alive.none {
            it.member.number < self.number && network.beatOf(it.member.instance)?.storeReachable == true
        }
    }

    private fun backendsListed(listed: List<BackendInfo>) {
        val changed = listed != backends
        backends = listed
        if (dispatcher.ownedDomains.isNotEmpty()) dispatcher.listBackends(listed)
        if (changed) backendRecipients().forEach { network.send(it, PeerMessage.Backends(listed)) }
    }

    /** Other owners, and the instances that would own next. */
    private fun backendRecipients(): List<String> {
        val alive = network.views().filter {
            it.life == PeerLife.ALIVE
        }.sortedWith(compareBy(PeerMember.BY_PREFERENCE) { it.member })
        val next =
            alive.take(NEXT_OWNERS) + alive.filter { it.member.failureDomain == self.failureDomain }.take(NEXT_OWNERS)
        return (alive.filter { it.owned.isNotEmpty() } + next).map { it.member.instance }.distinct()
    }

    /** Accepted jobs of [queue] that wait here. */
    public fun waitingJobs(queue: QueueId): Int = dispatcher.waitingJobs(queue)

    /** Cancels [job] wherever it runs. Returns whether it was open here or was passed on to the owner. */
    public fun cancel(job: JobId): Boolean {
        if (dispatcher.cancelForAll(job)) return true
        val owner = link.ownerOrNull() ?: return false
        if (owner != self.instance) network.send(owner, PeerMessage.Cancel(0, job, everyone = true))
        return owner != self.instance
    }

    /** Hands over to the other instances. Requests of this instance's callers go on until they have their results. */
    public fun leave() {
        if (leaving) return
        leaving = true
        log.event("instance", "leaving", "openRequests", entry.openRequests, "openJobs", dispatcher.openJobs)
        ownership.leave()
        network.beatNow()
    }

    private fun beat() =
        PeerMessage.Beat(
            configuration?.version ?: 0,
            ownership.owned,
            ownership.released,
            dispatcher.loadPercent(),
            store.isReachable,
            leaving,
        )

    private inner class Owned : OwnershipListener {
        override fun owned(failureDomain: String, token: Long) {
            dispatcher.own(failureDomain, token)
            dispatcher.listBackends(backends)
            network.beatNow()
            dispatcher.tick()
            scheduleDispatch()
        }

        override fun disowned(failureDomain: String) {
            val isLast = dispatcher.ownedDomains == setOf(failureDomain)
            if (isLast) {
                val moved = dispatcher.handOver()
                dispatcher.disown(failureDomain)
                network.beatNow()
                moved.forEach { (origin, job, progress) -> tellMoved(origin, job, progress) }
            } else {
                dispatcher.disown(failureDomain)
            }
            scheduleDispatch()
        }
    }

    private fun tellMoved(origin: JobOrigin, job: JobId, progress: JobProgress) {
        if (origin.instance == self.instance) {
            entry.moved(origin.request, job, progress)
        } else {
            network.send(origin.instance, PeerMessage.Moved(origin.request, job, progress))
        }
    }

    private inner class Actions : DispatchActions {
        override fun start(command: StartCommand) = orders.start(command) { dispatcher.startAnswered(command, it) }

        override fun stop(command: StopCommand) = orders.stop(command) {
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
            orders.poll(request) { dispatcher.looked(request, number, it) }

        override fun ended(origin: JobOrigin, job: JobId, result: JobResult) {
            if (origin.instance == self.instance) return entry.ended(origin.request, job, result)
            results.record(origin, job, result)
            network.send(origin.instance, PeerMessage.Ended(origin.request, job, result))
        }

        override fun fenced(failureDomain: String) = ownership.fenced(failureDomain)
    }

    /** All owners that are heard, this instance included. */
    private fun owners(): List<PeerView> {
        val own = PeerView(self, PeerLife.ALIVE, ownership.owned, leaving)
        return (network.views() + own).filter { it.life == PeerLife.ALIVE && it.owned.isNotEmpty() }
    }

    private inner class Link : OwnerLink {
        override fun ownerOrNull(): String? {
            val owners = owners()
            owners.firstOrNull {
                ownership.isSpread && self.failureDomain in it.owned
            }?.let { return it.member.instance }
            return owners.minWithOrNull(BEST_OWNER)?.member?.instance
        }

        override fun lessLoadedOrNull(owner: String): String? =
            owners().filter { it.member.instance != owner }
                .map {
                    it.member.instance to
                        (network.beatOf(it.member.instance)?.loadPercent ?: dispatcher.loadPercent())
                }
                .filter { (_, loadPercent) -> loadPercent < OVERFLOW_PERCENT }
                .minByOrNull { (_, loadPercent) -> loadPercent }
                ?.first

        override fun isOwner(instance: String): Boolean =
            if (instance == self.instance) {
                dispatcher.ownedDomains.isNotEmpty()
            } else {
                network.beatOf(instance)?.owned?.isNotEmpty() == true
            }

        override fun isAlive(instance: String): Boolean = instance == self.instance || network.isAlive(instance)

        override fun submit(owner: String, message: PeerMessage.Submit) {
            if (owner == self.instance) submitted(self.instance, message) else network.send(owner, message)
        }

        override fun cancel(owner: String, message: PeerMessage.Cancel) {
            if (owner == self.instance) cancelled(self.instance, message) else network.send(owner, message)
        }
    }

    private fun submitted(instance: String, message: PeerMessage.Submit) {
        val origin = JobOrigin(instance, message.number)
        val recorded = results.find(origin, message.job.id)
        when {
            recorded != null -> network.send(instance, PeerMessage.Ended(message.number, message.job.id, recorded))
            dispatcher.ownedDomains.isEmpty() -> tellMoved(origin, message.job.id, message.progress ?: JobProgress())
            else -> dispatcher.submit(message.job, origin, message.timeoutMs, message.waitedMs, message.progress)
        }
    }

    private fun cancelled(instance: String, message: PeerMessage.Cancel) {
        if (message.everyone) {
            dispatcher.cancelForAll(message.job)
        } else {
            dispatcher.cancel(message.job, JobOrigin(instance, message.number), "caller left")
        }
    }

    private inner class Peers : PeerListener {
        override fun received(peer: PeerMember, message: PeerMessage) {
            when (message) {
                is PeerMessage.Hello -> Unit

                is PeerMessage.Beat -> heard(peer, message)

                is PeerMessage.Submit -> submitted(peer.instance, message)

                is PeerMessage.Cancel -> cancelled(peer.instance, message)

                is PeerMessage.OpenRequests -> dispatcher.retain(peer.instance, message.numbers.toSet())

                is PeerMessage.Ended -> entry.ended(message.number, message.job, message.result)

                is PeerMessage.Moved -> entry.moved(message.number, message.job, message.progress)

                is PeerMessage.Configuration -> configured(message.configuration)

                is PeerMessage.Backends -> received(message.backends)

                is PeerMessage.Members -> message.members.forEach {
                    if (it.instance !=
                        self.instance
                    ) {
                        network.learn(it)
                    }
                }
            }
        }

        private fun heard(peer: PeerMember, beat: PeerMessage.Beat) {
            val mine = configuration ?: return
            if (beat.configurationVersion < mine.version) network.send(peer.instance, PeerMessage.Configuration(mine))
        }

        private fun received(listed: List<BackendInfo>) {
            if (store.isReachable && dispatcher.ownedDomains.isNotEmpty()) return
            backends = listed
            if (dispatcher.ownedDomains.isNotEmpty()) dispatcher.listBackends(listed)
        }

        override fun connected(peer: PeerMember) {
            network.send(peer.instance, PeerMessage.Members(network.members() + self))
            if (dispatcher.ownedDomains.isNotEmpty()) network.send(peer.instance, PeerMessage.Backends(backends))
            network.send(peer.instance, PeerMessage.OpenRequests(entry.openAt(peer.instance)))
            entry.reconnected(peer.instance)
        }

        override fun beat(): PeerMessage.Beat = this@FleetInstance.beat()
    }

    private companion object {
        val BEST_OWNER = compareByDescending<PeerView> { it.owned.size }.thenBy { it.member.number }
        const val OWNERSHIP_TICK_MS = 50L
        const val DISPATCH_TICK_MS = 20L
        const val REGISTER_RETRY_MS = 300L

        /** An owner takes jobs that another has refused below this load, which leaves room for its own callers. */
        const val OVERFLOW_PERCENT = 75

        /** Instances beside the owners that are told the list of backend servers. */
        const val NEXT_OWNERS = 3

        /** A failure domain none of whose backend servers has answered for so long is out of reach. */
        const val CONTACT_MS = 1_000L
    }
}

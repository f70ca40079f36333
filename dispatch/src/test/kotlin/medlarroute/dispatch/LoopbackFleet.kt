package medlarroute.dispatch

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import medlarroute.dispatch.evacuation.EvacuatedDomains
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/**
 * Instances with their connections on loopback, an event loop each, and one store and one set of backend servers in
 * memory. Each failure domain has one backend server, whose runs last until they are stopped.
 */
internal class LoopbackFleet(
    private val domains: List<String>,
    private val perDomainOwnersFrom: Int,
    private val memberGoneMs: Long = MemberRemoval.GONE_MS,
) : AutoCloseable {
    private val lock = Any()
    private val owners = HashMap<String, VersionedOwner>()
    private val members = ArrayList<PeerMember>()
    private val memberWatches = ArrayList<() -> Unit>()
    private val running = HashMap<String, LinkedHashMap<TaskKey, Int>>()
    private val tokens = HashMap<String, Long>()
    private val evacuationWatches = ArrayList<() -> Unit>()
    private var evacuated = EvacuatedDomains(1)
    private var version = 1L
    private val startedJobs = ArrayList<JobId>()
    private val backends = domains.map { domain ->
        val capacity = Resources(16_000, 64_000, 0)
        BackendInfo("b-$domain", "b-$domain", 1, domain, ServiceId("s"), capacity, emptyList(), 1, draining = false)
    }
    private val configuration = DispatchConfiguration(
        version = 1,
        queues = listOf(SimulatedBackends.queue()),
        services = listOf(ServiceSettings(ServiceId("s"), rejectsOverload = true)),
        limits = RequestLimits(16_384, 262_144, 15_000),
    )
    val instances = ArrayList<Instance>()

    inner class Instance(name: String, domain: String) {
        private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val member =
            PeerMember(name, domain, HOST, ServerSocket(0).use { it.localPort }, PeerMember.UNREGISTERED)
        private val fleet = FleetInstance(
            FleetSettings(
                member,
                domains,
                seeds = emptyList(),
                OwnershipSettings(tokenSuffix = instances.size.toLong()),
                perDomainOwnersFrom = perDomainOwnersFrom,
                memberGoneMs = memberGoneMs,
            ),
            group,
            Store(name, group),
            Commands(group),
            MachineClocks(TimeSource.Monotonic, TimeSource.Monotonic),
        ) { _, _, _ -> }

        fun start() = fleet.start()

        private fun <T> call(action: () -> T): T {
            val result = CompletableFuture<T>()
            group.next().execute { result.complete(action()) }
            return result.get(TIMEOUT_S, TimeUnit.SECONDS)
        }

        val evacuatedDomains: Int get() = call { fleet.evacuatedDomains }

        val isReady: Boolean get() = call { fleet.isReady }

        fun submit(job: JobRequest): CompletableFuture<JobResult> {
            val result = CompletableFuture<JobResult>()
            call { fleet.entry.submit(job, job.id.value, timeoutMs = 10_000) { result.complete(it) } }
            return result
        }

        fun cancel(job: JobId) = call { fleet.cancel(job) }

        /** Stops the event loop for [forMs]. */
        fun freeze(forMs: Long) = group.next().execute { Thread.sleep(forMs) }

        fun stop() {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }

    /** Whether the store's watches show a new row before its writer has the response. */
    @Volatile
    var notifiesFirst = false

    /** Instances that do not receive the evacuated failure domains from the store. */
    val withoutEvacuated: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Writes the evacuated failure domains to the store. */
    fun evacuate(vararg domains: String) = synchronized(lock) {
        evacuated = EvacuatedDomains(++version, domains.toSet())
        evacuationWatches.forEach { it() }
    }

    fun add(name: String, domain: String): Instance = Instance(name, domain).also {
        instances += it
        it.start()
    }

    fun awaitReady() = await { instances.all { it.isReady } }

    fun await(condition: () -> Boolean) {
        val giveUpAtNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
        while (!condition()) {
            check(System.nanoTime() < giveUpAtNs) { "the condition did not become true in time" }
            Thread.sleep(10)
        }
    }

    fun isRunning(job: JobId): Boolean =
        synchronized(lock) { running.values.any { runs -> runs.keys.any { it.job == job } } }

    fun isRunningIn(domain: String, job: JobId): Boolean =
        synchronized(lock) { running["b-$domain"].orEmpty().keys.any { it.job == job } }

    /** Numbers of the registered instances by their names. */
    fun registered(): Map<String, Long> = synchronized(lock) { members.associate { it.instance to it.number } }

    /** Removes the row of an instance, as an owner does that does not hear it. */
    fun removeRow(instance: String) = synchronized(lock) {
        members.removeIf { it.instance == instance }
        memberWatches.forEach { it() }
    }

    /** Waits until each failure domain has an owner of its own, as the store records. */
    fun awaitOwnerPerDomain() = await {
        synchronized(lock) { domains.map { owners[it]?.record?.owner.orEmpty() } }
            .let { names -> names.none { it.isEmpty() } && names.toSet().size == domains.size }
    }

    fun starts(job: JobId): Int = synchronized(lock) { startedJobs.count { it == job } }

    override fun close() = instances.forEach { it.stop() }

    private inner class Store(private val name: String, private val group: EventLoopGroup) : FleetStore {
        override val isReachable = true

        private fun reply(action: () -> Unit) = group.next().execute(action)

        override fun register(member: PeerMember, onNumber: (Long?) -> Unit) = synchronized(lock) {
            val number = ++version
            members += member.copy(number = number)
            if (notifiesFirst) memberWatches.forEach { it() }
            reply { onNumber(number) }
            if (!notifiesFirst) memberWatches.forEach { it() }
        }

        override fun removeMember(member: PeerMember, onResult: (Boolean) -> Unit) = synchronized(lock) {
            val isRemoved = members.remove(member)
            reply { onResult(isRemoved) }
            memberWatches.forEach { it() }
        }

        override fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit) = synchronized(lock) {
            val copy = owners.toMap()
            reply { onOwners(copy) }
        }

        override fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit) =
            synchronized(lock) {
                val isStale = records.any { (owners[it.record?.failureDomain]?.version ?: 0) != it.version }
                val result = if (isStale) {
                    OwnerWriteResult.Conflict(owners.toMap())
                } else {
                    val written = records.mapNotNull { it.record }
                    version++
                    written.forEach { owners[it.failureDomain] = VersionedOwner(it, version) }
                    OwnerWriteResult.Written(written.associate { it.failureDomain to version })
                }
                reply { onResult(result) }
            }

        override fun watchMembers(onMembers: (List<PeerMember>) -> Unit) = synchronized(lock) {
            val notify = {
                val copy = members.toList()
                reply { onMembers(copy) }
            }
            memberWatches += notify
            notify()
        }

        override fun watchConfiguration(
            onConfiguration: (DispatchConfiguration) -> Unit,
            onEvacuated: (EvacuatedDomains) -> Unit,
        ) = synchronized(lock) {
            val notify = {
                val copy = evacuated
                if (name !in withoutEvacuated) reply { onEvacuated(copy) }
            }
            evacuationWatches += notify
            notify()
            reply { onConfiguration(configuration) }
        }

        override fun watchBackends(enabled: Boolean, onBackends: (BackendList) -> Unit) {
            if (enabled) onBackends(BackendList(1, backends))
        }
    }

    private inner class Commands(private val group: EventLoopGroup) : BackendCommands {
        private fun clockMs() = System.nanoTime() / 1_000_000

        private fun isFenced(backend: BackendInfo, token: Long): Boolean {
            if (token < (tokens[backend.id] ?: 0)) return true
            tokens[backend.id] = token
            return false
        }

        override fun start(command: StartCommand, onResult: (StartResult) -> Unit) = synchronized(lock) {
            val result = if (isFenced(command.backend, command.token)) {
                StartResult.Rejected(RejectReason.FENCED, clockMs())
            } else {
                running.getOrPut(command.backend.id) { LinkedHashMap() }[command.task] = command.run
                startedJobs += command.task.job
                StartResult.Started(clockMs())
            }
            group.next().execute { onResult(result) }
        }

        override fun stop(command: StopCommand, onAcknowledged: (Boolean) -> Unit) = synchronized(lock) {
            val isFenced = isFenced(command.backend, command.token)
            if (!isFenced) running[command.backend.id]?.remove(command.task, command.run)
            group.next().execute { onAcknowledged(!isFenced) }
        }

        override fun poll(request: PollRequest, onResult: (PollResult) -> Unit) = synchronized(lock) {
            val result = if (isFenced(request.backend, request.token)) {
                PollResult.Fenced
            } else {
                val runs = running[request.backend.id].orEmpty().map { (task, run) -> RunProgress(task, run, 1) }
                PollResult.Report(clockMs(), 1, runs, emptyList())
            }
            group.next().schedule({ onResult(result) }, POLL_MS, TimeUnit.MILLISECONDS)
            Unit
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TIMEOUT_S = 20L
        const val POLL_MS = 20L
    }
}

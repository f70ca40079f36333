package medlarroute.dispatch

import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * One process of an instance, with the connections and the liveness of its peers as [PeerNetwork] keeps them.
 *
 * While the process is paused, messages wait, and timers that become due run once when it goes on.
 */
internal abstract class SimulatedProcess(
    val member: PeerMember,
    peerNames: Collection<String>,
    protected val sim: SimulatedBackends,
    private val links: SimulatedLinks,
    private val random: Random,
    private val clocks: SimulatedClocks,
) {
    protected val clock: TimeSource.WithComparableMarks = clocks.machine.elapsed
    private val elapsed = ElapsedClock(clock)
    val name: String get() = member.instance

    private class Peer(val name: String) {
        val connections = LinkedHashSet<SimulatedLinks.Connection>()
        var member: PeerMember? = null
        var receivedAtMs = NEVER_MS
        var dialedAtMs = NEVER_MS
        var isDialing = false
        var isAlive = false
        var heartbeat = PeerMessage.Heartbeat()
        var heartbeatReceivedAtMs = NEVER_MS
        var heartbeatSentAtMs = NEVER_MS
        var announcedIntervalMs = 0L
        val connection: SimulatedLinks.Connection? get() = connections.lastOrNull()
    }

    private val settings = PeerNetworkSettings()
    protected val peerClock = PeerClock(clock, random)
    private val peers = peerNames.filter { it != member.instance }.associateWith(::Peer)
    private val listening = ListeningTime()
    private val inbox = ArrayList<() -> Unit>()
    private val dueTimers = LinkedHashSet<() -> Unit>()
    private var isSuspended = false
    private var sentHeartbeat = PeerMessage.Heartbeat()
    var isPaused = false
        private set
    var isRunning = true
        private set

    /** Time on the clock of this process. */
    private fun nowMs() = elapsed.nowMs()

    protected abstract fun heartbeat(): PeerMessage.Heartbeat

    protected abstract fun onMessage(peer: String, message: PeerMessage)

    protected abstract fun onConnected(peer: String)

    /** Numbers of the open requests, by owner. */
    protected open fun openRequests(): Map<String, List<Long>> = emptyMap()

    /** Called every 50 ms, as [FleetInstance] does. */
    protected abstract fun ownershipTick()

    open fun start() {
        links.add(this)
        schedule(settings.heartbeatIntervalMs, ::networkTick)
        schedule(OWNERSHIP_TICK_MS, ::ownershipTick)
    }

    /** Calls [action] every [periodMs], beginning at a random time. */
    protected fun schedule(
        periodMs: Long,
        action: () -> Unit,
    ) = repeatAfter(random.nextLong(periodMs), periodMs, action)

    private fun repeatAfter(delayMs: Long, periodMs: Long, action: () -> Unit) {
        sim.after(delayMs) {
            if (!isRunning) return@after
            if (isPaused) dueTimers += action else action()
            repeatAfter(periodMs, periodMs, action)
        }
    }

    /** Runs [action] in this process, after a pause if it is paused. */
    fun deliver(action: () -> Unit) {
        if (!isRunning) return
        if (isPaused) inbox += action else action()
    }

    open fun pause() {
        isPaused = true
    }

    /** Pauses the process with its machine, whose steady clock and timers stand still. */
    fun suspendMachine() {
        isSuspended = true
        clocks.suspend()
        pause()
    }

    /** Lets [timer] run at the end of the pause. */
    protected fun addDueTimer(timer: () -> Unit) {
        dueTimers += timer
    }

    /** Ends a pause. The timers that are due may run before the messages that have arrived are read. */
    fun resume() {
        if (!isRunning) return
        isPaused = false
        if (isSuspended) return wake()
        if (random.nextInt(3) == 0) runDueTimers()
        readMessages()
        runDueTimers()
    }

    /** The timers are due by the steady clock, and so run after the messages that have arrived. */
    private fun wake() {
        isSuspended = false
        clocks.resume()
        readMessages()
        dueTimers.shuffled(random).forEach { timer ->
            sim.after(random.nextLong(OWNERSHIP_TICK_MS)) { if (isRunning && !isPaused) timer() }
        }
        dueTimers.clear()
    }

    private fun runDueTimers() {
        val due = dueTimers.shuffled(random)
        dueTimers.clear()
        due.forEach { it() }
    }

    protected open fun readMessages() {
        val waiting = inbox.toList()
        inbox.clear()
        waiting.forEach { it() }
    }

    open fun kill(losesPower: Boolean) {
        isRunning = false
        links.remove(this, losesPower)
    }

    fun connections(): List<SimulatedLinks.Connection> = peers.values.flatMap { it.connections }

    fun isAlive(peer: String): Boolean = peers[peer]?.isAlive == true

    protected fun memberOrNull(peer: String): PeerMember? = peers[peer]?.member

    protected fun heartbeatOf(peer: String): PeerMessage.Heartbeat? = peers[peer]?.takeIf { it.isAlive }?.heartbeat

    protected fun views(): List<PeerView> = peers.values.mapNotNull { peer ->
        val state = if (peer.isAlive) PeerState.ALIVE else PeerState.SILENT
        val last = peer.heartbeat
        peer.member?.let { PeerView(it, state, last.owned, last.leaving, last.released, last.successors) }
    }

    protected fun peerNames(): Set<String> = peers.keys

    fun send(peer: String, message: PeerMessage) {
        peers[peer]?.connection?.send(this, message)
    }

    protected fun silenceMs(peer: String): Long =
        minOf(nowMs() - (peers[peer]?.heartbeatReceivedAtMs ?: NEVER_MS), listening.elapsedMs(nowMs()))

    protected fun heardAtMsOrNull(peer: String): Long? =
        peers[peer]?.takeIf { it.heartbeatReceivedAtMs != NEVER_MS }?.heartbeat?.sentAtMs

    protected fun sendHeartbeatNow(peer: String) = sendHeartbeats { other, _ -> other.name == peer }

    protected fun sendHeartbeatNow() = sendHeartbeats { _, _ -> true }

    private fun sendHeartbeats(isDue: (Peer, Long) -> Boolean) {
        sentHeartbeat = heartbeat()
        val intervalMs =
            if (sentHeartbeat.owned.isEmpty()) settings.followerHeartbeatIntervalMs else settings.heartbeatIntervalMs
        for (peer in peers.values) {
            if (!isDue(peer, intervalMs)) continue
            val connection = peer.connection ?: continue
            peer.heartbeatSentAtMs = nowMs()
            peer.announcedIntervalMs = intervalMs
            connection.send(this, sentHeartbeat.copy(intervalMs, renewalOrNull(peer.name)))
        }
    }

    private fun PeerMessage.Heartbeat.copy(intervalMs: Long, renewal: Renewal?) =
        copy(intervalMs = intervalMs, sentAtMs = peerClock.nowMs(), renewal = renewal)

    private fun renewalOrNull(peer: String): Renewal? {
        val requests = openRequests()[peer] ?: return null
        return heardAtMsOrNull(peer)?.let { Renewal(requests, it) }
    }

    private fun networkTick() {
        listening.onTick(nowMs())
        val hasChanged = heartbeat().withoutLoads() != sentHeartbeat.withoutLoads()
        sendHeartbeats { peer, intervalMs ->
            val dueAfterMs = minOf(intervalMs, peer.announcedIntervalMs) - settings.heartbeatIntervalMs
            hasChanged || nowMs() - peer.heartbeatSentAtMs > dueAfterMs
        }
        for (peer in peers.values) {
            updateState(peer)
            val redialAfterMs = settings.redialAfterMs(peer.heartbeat.intervalMs)
            val isConnected = peer.connection != null && nowMs() - peer.receivedAtMs <= redialAfterMs
            if (!isConnected && nowMs() - peer.dialedAtMs >= redialPauseMs(peer)) dial(peer)
        }
    }

    private fun redialPauseMs(peer: Peer): Long {
        if (!links.goSilent || peer.isDialing) return settings.connectTimeoutMs
        val isJunior = member.number > (peer.member?.number ?: 0)
        return if (isJunior || peer.connection != null) settings.redialPauseMs else settings.redialPauseMs * 2
    }

    private fun updateState(peer: Peer) {
        val isAlive = nowMs() - peer.receivedAtMs <= settings.silentMs(peer.heartbeat.intervalMs)
        if (isAlive == peer.isAlive) return
        peer.isAlive = isAlive
        sim.trace("process $name finds ${peer.name} ${if (isAlive) "alive" else "silent"}")
        if (isAlive) return
        peer.connections.forEach { it.close(this) }
        peer.connections.clear()
    }

    private fun dial(peer: Peer) {
        peer.dialedAtMs = nowMs()
        peer.isDialing = true
        links.dial(this, peer.name)
    }

    fun onOpened(connection: SimulatedLinks.Connection) {
        if (connection.isDialedBy(this)) peers[connection.peerOf(this).name]?.isDialing = false
        connection.send(this, PeerMessage.Hello(member))
        connection.send(this, heartbeat().copy(settings.heartbeatIntervalMs, renewal = null))
    }

    /** No process listens at the machine [peer]. */
    fun onRefused(peer: String) {
        val refusing = peers[peer] ?: return
        refusing.isDialing = false
        refusing.receivedAtMs = NEVER_MS
        updateState(refusing)
    }

    fun onReceived(connection: SimulatedLinks.Connection, message: PeerMessage) {
        val peer = peers[connection.peerOf(this).name] ?: return
        if (message is PeerMessage.Hello) return onHello(peer, connection, message.member)
        if (connection !in peer.connections) return
        peer.receivedAtMs = nowMs()
        if (message is PeerMessage.Heartbeat) {
            val sinceLastMs = nowMs() - peer.heartbeatReceivedAtMs
            peer.heartbeat = message
            peer.heartbeatReceivedAtMs = nowMs()
            updateState(peer)
            if (sinceLastMs > RENEWAL_GAP_MS && peer.name in openRequests()) sendHeartbeatNow(peer.name)
        }
        onMessage(peer.name, message)
    }

    private fun onHello(peer: Peer, connection: SimulatedLinks.Connection, remote: PeerMember) {
        if (connection.isClosed) return
        peer.member = remote
        peer.connections += connection
        if (links.goSilent && peer.connections.size > MAX_CONNECTIONS) closeOldest(peer)
        peer.receivedAtMs = nowMs()
        peer.announcedIntervalMs = 0
        onConnected(peer.name)
    }

    private fun closeOldest(peer: Peer) {
        val oldest = peer.connections.first()
        peer.connections -= oldest
        oldest.close(this)
    }

    fun onClosed(connection: SimulatedLinks.Connection) {
        val peer = peers[connection.peerOf(this).name] ?: return
        if (!peer.connections.remove(connection)) return
        if (peer.connections.isEmpty()) {
            dial(peer)
        } else if (links.goSilent) {
            onConnected(peer.name)
        }
    }

    private companion object {
        const val OWNERSHIP_TICK_MS = 50L
        const val RENEWAL_GAP_MS = 300L
        const val MAX_CONNECTIONS = 3
    }
}

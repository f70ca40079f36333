package medlarroute.dispatch

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.TimeSource

/** Receives messages of peers. Called on the event loop. */
public interface PeerListener {
    public fun onMessage(peer: PeerMember, message: PeerMessage)

    /**
     * A connection to [peer] was opened, or one of several was closed; messages sent on others than the present one may
     * have been lost.
     */
    public fun onConnected(peer: PeerMember)

    /** The current content of a heartbeat. */
    public fun heartbeat(): PeerMessage.Heartbeat

    /** Instances that run jobs for this instance, or for which it runs jobs. Their loss must be detected early. */
    public fun partners(): Set<String>

    /** Numbers of the requests that this instance has open, by the owner that runs their jobs. */
    public fun openRequests(): Map<String, List<Long>>
}

/**
 * Connections with heartbeats between instances: one to each peer that this instance monitors.
 *
 * Messages are length-prefixed JSON. If nothing arrives on a connection, a new one is opened before the peer counts as
 * silent, in case only the connection is broken. All calls are made on the event loop of [group].
 */
public class PeerNetwork(
    private val self: () -> PeerMember,
    private val settings: PeerNetworkSettings,
    private val group: EventLoopGroup,
    clock: TimeSource.WithComparableMarks,
    private val listener: PeerListener,
    private val log: EventLog,
) {
    private class Peer(var member: PeerMember) {
        /** Open connections, the newest last. There are several if both sides have dialed at the same time. */
        val channels = LinkedHashSet<Channel>()

        /** The connection to send on. */
        var channel: Channel? = null

        /** Time of the last message from the peer. */
        var receivedAtMs = NEVER_MS
        var dialedAtMs = NEVER_MS
        var dialing = false
        var refused = false
        var state = PeerState.SILENT
        var heartbeat = PeerMessage.Heartbeat()

        /** Time of the last heartbeat. */
        var heartbeatReceivedAtMs = NEVER_MS
        var listed = false

        /** Time of the last heartbeat to the peer, and the interval that it announced. */
        var heartbeatSentAtMs = NEVER_MS
        var announcedIntervalMs = 0L

        /** Time of the first message to the peer that obliges it to send short intervals, until it announces one. */
        var shortIntervalDueSinceMs = NEVER_MS
    }

    private val elapsed = ElapsedClock(clock)
    private val peerClock = PeerClock(clock)
    private val listening = ListeningTime()
    private val peers = HashMap<String, Peer>()
    private var server: Channel? = null
    private var sentHeartbeat = PeerMessage.Heartbeat()

    private fun nowMs() = elapsed.nowMs()

    /** Accepts connections from peers. Throws [java.io.IOException] if the address can't be used. */
    public fun listen(host: String, port: Int) {
        val bootstrap = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(dialed = null))
        server = listen(bootstrap, host, port)
    }

    /** Replaces the list of known instances; reachable peers that are not in [members] are kept. */
    public fun setMembers(members: List<PeerMember>) {
        peers.values.forEach { it.listed = false }
        members.forEach { peerFor(it).listed = true }
        peers.values.removeIf { !it.listed && it.state != PeerState.ALIVE }
    }

    /** Dials an address where an instance may be found, used before any list of instances is known. */
    public fun dialAddress(host: String, port: Int) {
        connect(host, port, peer = null)
    }

    /** Adds [member] to the known instances. Ignored if a later incarnation of the instance is known. */
    public fun addMember(member: PeerMember) {
        peerFor(member)
    }

    private fun peerFor(member: PeerMember): Peer {
        val peer = peers.getOrPut(member.instance) { Peer(member) }
        val isNewer = member.isRegistered && (!peer.member.isRegistered || member.number > peer.member.number)
        if (isNewer) {
            peer.member = member
            peer.refused = false
        }
        return peer
    }

    public fun members(): List<PeerMember> = peers.values.map { it.member }

    public fun views(): List<PeerView> {
        val own = self().instance
        return peers.values.filter { it.member.instance != own }
            .map { view(it.member, it.state, it.heartbeat) }
    }

    private fun view(member: PeerMember, state: PeerState, last: PeerMessage.Heartbeat) =
        PeerView(member, state, last.owned, last.leaving, last.released, last.successors)

    /** Last heartbeat of [instance]; null unless it is alive. */
    public fun heartbeatOf(instance: String): PeerMessage.Heartbeat? =
        peers[instance]?.takeIf { it.state == PeerState.ALIVE }?.heartbeat

    /** The last known incarnation of [instance]; null if the instance is unknown. */
    public fun memberOrNull(instance: String): PeerMember? = peers[instance]?.member

    /** [PeerMessage.Heartbeat.sentAtMs] of the last heartbeat of [instance]; null if there is none. */
    public fun heardAtMsOrNull(instance: String): Long? =
        peers[instance]?.takeIf { it.heartbeatReceivedAtMs != NEVER_MS }?.heartbeat?.sentAtMs

    /**
     * For how long [instance] has sent no heartbeat while this instance could receive one. That it was not heard before
     * does not tell that it has stopped.
     */
    internal fun silenceMs(instance: String): Long {
        val nowMs = nowMs()
        val sinceHeartbeatMs = nowMs - (peers[instance]?.heartbeatReceivedAtMs ?: NEVER_MS)
        return minOf(sinceHeartbeatMs, listening.elapsedMs(nowMs))
    }

    /** For how long this process has been able to receive messages, see [ListeningTime]. */
    internal fun listeningMs(): Long = listening.elapsedMs(nowMs())

    /** Time since this instance has sent the heartbeat with [sentAtMs]; null if another process has sent it. */
    public fun ageMsOrNull(sentAtMs: Long): Long? = peerClock.ageMsOrNull(sentAtMs)

    public fun isAlive(instance: String): Boolean = peers[instance]?.state == PeerState.ALIVE

    /**
     * Sends [message] if there is a connection to [instance]. Delivery is not guaranteed: only a reply of the receiver
     * shows that it has arrived.
     */
    public fun send(instance: String, message: PeerMessage) {
        val peer = peers[instance] ?: return
        val channel = peer.channel ?: return
        // The receiver would otherwise detect the loss of this instance only after the long interval announced before.
        if (peer.announcedIntervalMs > settings.followerHeartbeatIntervalMs) {
            sendHeartbeat(peer, settings.followerHeartbeatIntervalMs, EncodedHeartbeats(sentHeartbeat))
        }
        val isLong = peer.heartbeat.intervalMs > settings.followerHeartbeatIntervalMs
        if (isLong && peer.shortIntervalDueSinceMs == NEVER_MS) peer.shortIntervalDueSinceMs = nowMs()
        channel.writeAndFlush(encode(message), channel.voidPromise())
    }

    /** Sends [message] to all peers with a connection. Unlike [send], it does not affect the heartbeats. */
    public fun broadcast(message: PeerMessage) {
        val encoded = encode(message)
        peers.values.mapNotNull { it.channel }
            .forEach { it.writeAndFlush(encoded.retainedDuplicate(), it.voidPromise()) }
        encoded.release()
    }

    /** Sends a heartbeat to all peers now. */
    public fun sendHeartbeatNow(): Unit = sendHeartbeats(listener.heartbeat(), isDue = { _, _, _ -> true })

    /** Sends a heartbeat to [instance] now, since it needs the time or the renewal in it. */
    public fun sendHeartbeatNow(instance: String) {
        val peer = peers[instance] ?: return
        val intervalMs = heartbeatIntervalMs(peer, sentHeartbeat, listener.partners())
        sendHeartbeat(peer, intervalMs, EncodedHeartbeats(sentHeartbeat))
    }

    private fun sendHeartbeats(
        heartbeat: PeerMessage.Heartbeat,
        isDue: (peer: Peer, intervalMs: Long, isPartner: Boolean) -> Boolean,
    ) {
        sentHeartbeat = heartbeat
        val partners = listener.partners()
        val encoded by lazy(LazyThreadSafetyMode.NONE) { EncodedHeartbeats(sentHeartbeat) }
        for (peer in peers.values) {
            if (peer.channel == null) continue
            val intervalMs = heartbeatIntervalMs(peer, sentHeartbeat, partners)
            if (isDue(peer, intervalMs, peer.member.instance in partners)) sendHeartbeat(peer, intervalMs, encoded)
        }
    }

    private fun sendDueHeartbeats(nowMs: Long) {
        val heartbeat = listener.heartbeat()
        val hasChanged = heartbeat.withoutLoads() != sentHeartbeat.withoutLoads()
        sendHeartbeats(heartbeat) { peer, intervalMs, isPartner ->
            // Ticks are a little more than the shortest interval apart. A heartbeat is sent at the tick that is nearest
            // to the announced interval, since the peer tolerates more than twice that; those with renewals, or whose
            // loss delays jobs, are sent before the interval has passed.
            val earlyMs = if (isPartner) settings.heartbeatIntervalMs else settings.heartbeatIntervalMs / 2
            hasChanged || nowMs - peer.heartbeatSentAtMs > minOf(intervalMs, peer.announcedIntervalMs) - earlyMs
        }
    }

    private fun sendHeartbeat(peer: Peer, intervalMs: Long, encoded: EncodedHeartbeats) {
        val channel = peer.channel ?: return
        peer.heartbeatSentAtMs = nowMs()
        peer.announcedIntervalMs = intervalMs
        channel.writeAndFlush(encoded.get(peer, intervalMs), channel.voidPromise())
    }

    /** Encodes a heartbeat once for each interval that it announces, and once for each peer with a renewal. */
    private inner class EncodedHeartbeats(heartbeat: PeerMessage.Heartbeat) {
        private val stamped = heartbeat.copy(sentAtMs = peerClock.nowMs())
        private val openRequests = listener.openRequests()
        private val byIntervalMs = HashMap<Long, ByteArray>()

        fun get(peer: Peer, intervalMs: Long): ByteBuf {
            val renewal = renewalOrNull(peer)
            val bytes = if (renewal == null) {
                byIntervalMs.getOrPut(intervalMs) { toBytes(stamped.copy(intervalMs = intervalMs)) }
            } else {
                toBytes(stamped.copy(intervalMs = intervalMs, renewal = renewal))
            }
            return Unpooled.wrappedBuffer(bytes)
        }

        private fun renewalOrNull(peer: Peer): Renewal? {
            val requests = openRequests[peer.member.instance] ?: return null
            return heardAtMsOrNull(peer.member.instance)?.let { Renewal(requests, it) }
        }
    }

    /**
     * Interval of the heartbeats to [peer].
     *
     * In a large deployment it is long between instances that do not depend on each other: they are in different
     * failure domains, at least one of them owns nothing, and neither runs jobs of the other. Of the other instances,
     * those that own nothing send half as many heartbeats as an owner: late detection of a dead owner delays the jobs
     * of all, that of another instance only the withdrawal of its own jobs.
     */
    private fun heartbeatIntervalMs(peer: Peer, heartbeat: PeerMessage.Heartbeat, partners: Set<String>): Long {
        if (peers.size <= settings.fullMeshSize) return settings.heartbeatIntervalMs
        val isOwner = heartbeat.owned.isNotEmpty()
        val isDependent = (isOwner && peer.heartbeat.owned.isNotEmpty()) ||
            peer.member.failureDomain == self().failureDomain ||
            peer.member.failureDomain in heartbeat.owned ||
            self().failureDomain in peer.heartbeat.owned ||
            peer.member.instance in partners
        return when {
            !isDependent -> settings.distantHeartbeatIntervalMs
            isOwner -> settings.heartbeatIntervalMs
            else -> settings.followerHeartbeatIntervalMs
        }
    }

    /** Sends heartbeats and opens connections as due. Called every [PeerNetworkSettings.heartbeatIntervalMs]. */
    public fun tick() {
        val nowMs = nowMs()
        listening.onTick(nowMs)
        sendDueHeartbeats(nowMs)
        val monitored = monitored()
        val owners by lazy { listener.openRequests().keys }
        for (peer in peers.values.toList()) {
            updateState(peer, nowMs)
            if (peer.member.instance == self().instance) continue
            val isDue = peer.shortIntervalDueSinceMs != NEVER_MS
            if (isDue && peer.member.instance !in owners) peer.shortIntervalDueSinceMs = NEVER_MS
            if (peer in monitored && needsDial(peer, nowMs)) dial(peer, nowMs)
        }
    }

    private fun updateState(peer: Peer, nowMs: Long) {
        val state = when {
            nowMs - peer.receivedAtMs <= settings.silentMs(peer.heartbeat.intervalMs) -> PeerState.ALIVE
            peer.refused -> PeerState.DEAD
            else -> PeerState.SILENT
        }
        if (state == peer.state) return
        log.event(
            "peer", "life", "peer", peer.member.instance, "number", peer.member.number, "was", peer.state, "is", state,
            "heardMsAgo", if (peer.receivedAtMs == NEVER_MS) null else nowMs - peer.receivedAtMs,
        )
        peer.state = state
        if (state != PeerState.ALIVE) peer.channels.toList().forEach(::resetConnection)
    }

    private fun needsDial(peer: Peer, nowMs: Long): Boolean {
        if (peer.dialing && nowMs - peer.dialedAtMs < settings.connectTimeoutMs) return false
        val redialAfterMs = settings.redialAfterMs(peer.heartbeat.intervalMs)
        val isHeard = nowMs - peer.receivedAtMs <= redialAfterMs
        if (isHeard && !isSilentTowards(peer, nowMs) && peer.channel != null) return false
        val isJunior = self().number > peer.member.number
        val pauseMs = if (isJunior || peer.channel != null) settings.redialPauseMs else settings.redialPauseMs * 2
        return nowMs - peer.dialedAtMs >= pauseMs
    }

    /**
     * Whether a request has probably not reached [peer], although this instance hears it. An owner sends short
     * intervals once it has a request of this instance. It would itself notice only after the long interval that it
     * hears nothing.
     */
    private fun isSilentTowards(peer: Peer, nowMs: Long): Boolean = peer.shortIntervalDueSinceMs != NEVER_MS &&
        nowMs - peer.shortIntervalDueSinceMs > settings.redialAfterMs

    private fun monitored(): Set<Peer> {
        val own = self()
        val others = peers.values.filter { it.member.instance != own.instance }
        if (others.size <= settings.fullMeshSize) return others.toSet()
        val byPreference = others.sortedWith(compareBy(PeerMember.BY_PREFERENCE) { it.member })
        val monitored = HashSet<Peer>()
        monitored += byPreference.take(settings.monitoredPreferred)
        var available = 0
        for (peer in byPreference) {
            if (peer.member.failureDomain != own.failureDomain) continue
            if (available == settings.monitoredInDomain) break
            monitored += peer
            if (peer.state == PeerState.ALIVE && !peer.heartbeat.leaving) available++
        }
        val owners = others.filter { it.state == PeerState.ALIVE && it.heartbeat.owned.isNotEmpty() }
        monitored += owners
        // An owner may be none of the candidates above. The other owners know it.
        val reported = owners.flatMapTo(HashSet()) { it.heartbeat.ownerLoads.keys }
        monitored += others.filter { it.member.instance in reported }
        return monitored
    }

    private fun dial(peer: Peer, nowMs: Long) {
        peer.dialedAtMs = nowMs
        peer.dialing = true
        connect(peer.member.host, peer.member.port, peer)
    }

    private fun connect(host: String, port: Int, peer: Peer?) {
        Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs.toInt())
            .handler(initializer(peer))
            .connect(host, port)
            .addListener { future ->
                peer?.dialing = false
                if (!future.isSuccess && peer != null) dialFailed(peer, future.cause())
            }
    }

    private fun dialFailed(peer: Peer, cause: Throwable) {
        if (!isConnectionRefused(cause) || peer.refused) return
        peer.refused = true
        peer.receivedAtMs = NEVER_MS
        log.event("peer", "refused", "peer", peer.member.instance, "number", peer.member.number)
        updateState(peer, nowMs())
    }

    private fun initializer(dialed: Peer?) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline()
                .addLast(LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(LengthFieldPrepender(LENGTH_BYTES))
                .addLast(Handler(dialed))
        }
    }

    private inner class Handler(private val dialed: Peer?) : SimpleChannelInboundHandler<ByteBuf>() {
        private var peer: Peer? = null

        override fun channelActive(context: ChannelHandlerContext) {
            context.write(encode(PeerMessage.Hello(self())))
            val heartbeat = listener.heartbeat()
                .copy(intervalMs = settings.heartbeatIntervalMs, sentAtMs = peerClock.nowMs())
            context.writeAndFlush(encode(heartbeat))
        }

        override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
            val message = try {
                json.decodeFromString(PeerMessage.serializer(), frame.toString(Charsets.UTF_8))
            } catch (e: SerializationException) {
                log.event("peer", "unreadable", "peer", peer?.member?.instance, "reason", e.message)
                context.close()
                return
            }
            if (message is PeerMessage.Hello) return onHello(context.channel(), message.member)
            val from = peer ?: return
            from.receivedAtMs = nowMs()
            if (message is PeerMessage.Heartbeat) {
                onHeartbeat(from, message)
            }
            listener.onMessage(from.member, message)
        }

        private fun onHeartbeat(from: Peer, heartbeat: PeerMessage.Heartbeat) {
            val nowMs = nowMs()
            val sinceLastMs = nowMs - from.heartbeatReceivedAtMs
            from.heartbeat = heartbeat
            from.heartbeatReceivedAtMs = nowMs
            if (heartbeat.intervalMs <= settings.followerHeartbeatIntervalMs) from.shortIntervalDueSinceMs = NEVER_MS
            updateState(from, nowMs)
            // An owner whose heartbeats come rarely starts no task before the request is renewed with a recent one.
            val isWaiting = sinceLastMs > RENEWAL_GAP_MS && from.member.instance in listener.openRequests()
            if (isWaiting) sendHeartbeatNow(from.member.instance)
        }

        private fun onHello(channel: Channel, member: PeerMember) {
            if (member.instance == self().instance) {
                channel.close()
                return
            }
            val remote = peerFor(member)
            remote.member = member
            remote.channels += channel
            remote.channel = channel
            if (remote.channels.size > MAX_CONNECTIONS) remote.channels.first().close()
            remote.refused = false
            remote.receivedAtMs = nowMs()
            // The heartbeat that opened the connection announced the shortest interval.
            remote.announcedIntervalMs = 0
            peer = remote
            listener.onConnected(member)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            val remote = peer ?: return
            remote.channels -= context.channel()
            // Several connections are often closed together, and the end of each is reported by itself.
            val remaining = remote.channels.lastOrNull { it.isActive }
            if (remaining != null) {
                remote.channel = remaining
                return listener.onConnected(remote.member)
            }
            if (remote.channels.isNotEmpty()) return
            remote.channel = null
            remote.dialedAtMs = NEVER_MS
            log.event("peer", "disconnected", "peer", remote.member.instance, "number", remote.member.number)
            if (remote in monitored()) dial(remote, nowMs())
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("peer", "connection-failed", "peer", peer?.member?.instance, "reason", cause.toString())
            context.close()
        }
    }

    private fun encode(message: PeerMessage): ByteBuf = Unpooled.wrappedBuffer(toBytes(message))

    private fun toBytes(message: PeerMessage): ByteArray =
        json.encodeToString(PeerMessage.serializer(), message).toByteArray()

    private companion object {
        const val LENGTH_BYTES = 4

        /** More than two short heartbeat intervals. */
        const val RENEWAL_GAP_MS = 300L

        /** One connection dialed by each side, and one that replaces a broken one. */
        const val MAX_CONNECTIONS = 3

        /** Several times the largest configuration that the store accepts. */
        const val MAX_FRAME_BYTES = 8 * 1024 * 1024
        val json = Json {
            ignoreUnknownKeys = true
            classDiscriminator = "type"
        }
    }
}

/**
 * Closes a connection to a lost peer and discards what was sent on it. Otherwise jobs that have meanwhile been sent to
 * another owner would be delivered, and started again, when a partition ends. Does nothing if it is closed already.
 */
internal fun resetConnection(channel: Channel) {
    // A closed connection stays among those of its peer until the event loop has reported its end.
    if (!channel.isOpen) return
    channel.config().setOption(ChannelOption.SO_LINGER, 0)
    channel.close()
}

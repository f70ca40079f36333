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

/** Receives what peers say, on the event loop. */
public interface PeerListener {
    public fun received(peer: PeerMember, message: PeerMessage)

    /** A connection to [peer] is open; messages sent on earlier ones may be lost. */
    public fun connected(peer: PeerMember)

    /** The heartbeat to send. */
    public fun beat(): PeerMessage.Beat
}

/**
 * Connections between instances: one to each peer that matters to this one, with heartbeats on it.
 *
 * Frames are JSON with a length before it. A connection that goes silent is replaced by a new one before its peer
 * counts as silent. All calls are made on the event loop of [group].
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
        /** Open connections, the newest last. Both sides may have dialed at the same time. */
        val channels = LinkedHashSet<Channel>()

        /** The connection to send on. */
        var channel: Channel? = null
        var heardAtMs = NEVER_MS
        var dialedAtMs = NEVER_MS
        var dialing = false
        var refused = false
        var life = PeerLife.SILENT
        var beat = PeerMessage.Beat()
        var listed = false
    }

    private val elapsed = ElapsedClock(clock)
    private val peers = HashMap<String, Peer>()
    private var server: Channel? = null
    private var sentBeat = PeerMessage.Beat()
    private var sentBeatAtMs = NEVER_MS

    private fun nowMs() = elapsed.nowMs()

    /** Listens for peers. */
    public fun listen(host: String, port: Int) {
        val bootstrap = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(dialed = null))
        server = bootstrap.bind(host, port).sync().channel()
    }

    /** Replaces the list of known instances. */
    public fun list(members: List<PeerMember>) {
        peers.values.forEach { it.listed = false }
        members.forEach { row(it).listed = true }
        peers.values.removeIf { !it.listed && it.life != PeerLife.ALIVE }
    }

    /** Adds addresses where instances may be found before any list is known. */
    public fun dialAddress(host: String, port: Int) {
        connect(host, port, peer = null)
    }

    /** Notes that [member] exists; a lower number than the known one is an earlier life. */
    public fun learn(member: PeerMember) {
        row(member)
    }

    private fun row(member: PeerMember): Peer {
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
            .map { PeerView(it.member, it.life, it.beat.owned, it.beat.leaving, it.beat.released) }
    }

    public fun beatOf(instance: String): PeerMessage.Beat? = peers[instance]?.takeIf { it.life == PeerLife.ALIVE }?.beat

    public fun isAlive(instance: String): Boolean = peers[instance]?.life == PeerLife.ALIVE

    /** Sends if there is a connection; the receiver's answer or silence shows whether it arrived. */
    public fun send(instance: String, message: PeerMessage) {
        val channel = peers[instance]?.channel ?: return
        channel.writeAndFlush(encode(message), channel.voidPromise())
    }

    public fun broadcast(message: PeerMessage) {
        val encoded = encode(message)
        peers.values.mapNotNull {
            it.channel
        }.forEach { it.writeAndFlush(encoded.retainedDuplicate(), it.voidPromise()) }
        encoded.release()
    }

    /** Sends a heartbeat to all peers now. */
    public fun beatNow(): Unit = sendBeat(beat())

    private fun sendBeat(beat: PeerMessage.Beat) {
        sentBeat = beat
        sentBeatAtMs = nowMs()
        broadcast(beat)
    }

    /**
     * The heartbeat to send. In a large deployment an instance that owns nothing beats less often: the silence of an
     * owner holds up jobs, that of another instance only the withdrawal of its own.
     */
    private fun beat(): PeerMessage.Beat {
        val beat = listener.beat()
        val isFollower = beat.owned.isEmpty() && peers.size > settings.fullMeshSize
        return beat.copy(intervalMs = if (isFollower) settings.followerBeatMs else settings.beatMs)
    }

    private fun isDue(next: PeerMessage.Beat, nowMs: Long): Boolean {
        val isNews = next.copy(loadPercent = sentBeat.loadPercent) != sentBeat
        return isNews || nowMs - sentBeatAtMs > next.intervalMs - settings.beatMs
    }

    /** Sends due heartbeats and looks after connections. Called each [PeerNetworkSettings.beatMs]. */
    public fun tick() {
        val nowMs = nowMs()
        beat().takeIf { isDue(it, nowMs) }?.let(::sendBeat)
        val watched = watched()
        for (peer in peers.values.toList()) {
            updateLife(peer, nowMs)
            if (peer.member.instance == self().instance) continue
            if (peer in watched && needsDial(peer, nowMs)) dial(peer, nowMs)
        }
    }

    private fun updateLife(peer: Peer, nowMs: Long) {
        val life = when {
            nowMs - peer.heardAtMs <= settings.silentMs(peer.beat.intervalMs) -> PeerLife.ALIVE
            peer.refused -> PeerLife.DEAD
            else -> PeerLife.SILENT
        }
        if (life == peer.life) return
        log.event(
            "peer", "life", "peer", peer.member.instance, "number", peer.member.number, "was", peer.life, "is", life,
            "heardMsAgo", if (peer.heardAtMs == NEVER_MS) null else nowMs - peer.heardAtMs,
        )
        peer.life = life
    }

    private fun needsDial(peer: Peer, nowMs: Long): Boolean {
        if (peer.dialing && nowMs - peer.dialedAtMs < settings.connectTimeoutMs) return false
        val redialAfterMs = settings.redialAfterMs(peer.beat.intervalMs)
        if (nowMs - peer.heardAtMs <= redialAfterMs && peer.channel != null) return false
        val isJunior = self().number > peer.member.number
        val pauseMs = if (isJunior || peer.channel != null) settings.redialPauseMs else settings.redialPauseMs * 2
        return nowMs - peer.dialedAtMs >= pauseMs
    }

    private fun watched(): Set<Peer> {
        val own = self()
        val others = peers.values.filter { it.member.instance != own.instance }
        if (others.size <= settings.fullMeshSize) return others.toSet()
        val byPreference = others.sortedWith(compareBy(PeerMember.BY_PREFERENCE) { it.member })
        val watched = HashSet<Peer>()
        watched += byPreference.take(settings.watchedPreferred)
        watched += byPreference.filter { it.member.failureDomain == own.failureDomain }.take(settings.watchedInDomain)
        watched += others.filter { it.life == PeerLife.ALIVE && it.beat.owned.isNotEmpty() }
        return watched
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
        peer.heardAtMs = NEVER_MS
        log.event("peer", "refused", "peer", peer.member.instance, "number", peer.member.number)
        updateLife(peer, nowMs())
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
            context.writeAndFlush(encode(PeerMessage.Hello(self())))
            context.writeAndFlush(encode(beat()))
        }

        override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
            val message = try {
                json.decodeFromString(PeerMessage.serializer(), frame.toString(Charsets.UTF_8))
            } catch (e: SerializationException) {
                log.event("peer", "unreadable", "peer", peer?.member?.instance, "reason", e.message)
                context.close()
                return
            }
            if (message is PeerMessage.Hello) return greeted(context.channel(), message.member)
            val from = peer ?: return
            from.heardAtMs = nowMs()
            if (message is PeerMessage.Beat) {
                from.beat = message
                updateLife(from, nowMs())
            }
            listener.received(from.member, message)
        }

        private fun greeted(channel: Channel, member: PeerMember) {
            if (member.instance == self().instance) {
                channel.close()
                return
            }
            val row = row(member)
            row.member = member
            row.channels += channel
            row.channel = channel
            if (row.channels.size > MOST_CONNECTIONS) row.channels.first().close()
            row.refused = false
            row.heardAtMs = nowMs()
            peer = row
            listener.connected(member)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            val row = peer ?: return
            row.channels -= context.channel()
            if (row.channel !== context.channel()) return
            row.channel = row.channels.lastOrNull()
            if (row.channel != null) return
            row.dialedAtMs = NEVER_MS
            log.event("peer", "disconnected", "peer", row.member.instance, "number", row.member.number)
            if (row in watched()) dial(row, nowMs())
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("peer", "connection-failed", "peer", peer?.member?.instance, "reason", cause.toString())
            context.close()
        }
    }

    private fun encode(message: PeerMessage): ByteBuf =
        Unpooled.wrappedBuffer(json.encodeToString(PeerMessage.serializer(), message).toByteArray())

    private companion object {
        const val LENGTH_BYTES = 4

        /** One that each side dialed, and one that replaces a silent one. */
        const val MOST_CONNECTIONS = 3

        /** A configuration of the largest size the store takes fits several times over. */
        const val MAX_FRAME_BYTES = 8 * 1024 * 1024
        val json = Json {
            ignoreUnknownKeys = true
            classDiscriminator = "type"
        }
    }
}

/**
 * Times of [PeerNetwork] in milliseconds, and how many peers an instance keeps connections to.
 *
 * @property beatMs heartbeat interval.
 * @property followerBeatMs heartbeat interval of instances that own nothing, where not all peers are watched. Most
 *   messages of a large deployment are heartbeats.
 * @property redialAfterMs silence after which a new connection is tried: more than two heartbeats.
 * @property silentMs silence after which a peer no longer counts as alive; leaves a new connection time to be heard.
 * @property fullMeshSize up to so many peers are all watched. Above, only the most senior and the owners are, so that
 *   the cost of an instance does not grow with the number of instances.
 */
public data class PeerNetworkSettings(
    val beatMs: Long = 100,
    val followerBeatMs: Long = 200,
    val redialAfterMs: Long = 250,
    val silentMs: Long = 400,
    val redialPauseMs: Long = 200,
    val connectTimeoutMs: Long = 400,
    val fullMeshSize: Int = 12,
    val watchedPreferred: Int = 3,
    val watchedInDomain: Int = 2,
) {
    /** Silence after which a peer that beats each [intervalMs] no longer counts as alive. */
    internal fun silentMs(intervalMs: Long): Long = silentMs + 2 * (intervalMs - beatMs)

    /** Silence after which a new connection to a peer that beats each [intervalMs] is tried. */
    internal fun redialAfterMs(intervalMs: Long): Long = redialAfterMs + intervalMs - beatMs
}

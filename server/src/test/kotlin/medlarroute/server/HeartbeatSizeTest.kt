package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.builtins.serializer
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.EntryMember
import medlarroute.core.FailureDomainId
import medlarroute.core.Heartbeat
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.InstanceList
import medlarroute.core.ListedBackend
import medlarroute.core.Membership
import medlarroute.core.PeerSettings
import medlarroute.core.PlatformSettings
import medlarroute.core.QuotaDemand
import medlarroute.core.QuotaGrant
import medlarroute.core.SuccessorNotice
import medlarroute.core.TeamId
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards the budget of 4 KB/s for each entry instance at the target size. */
class HeartbeatSizeTest {
    private val settings = PeerSettings()

    /** 32 entry instances and 910 backend servers, a twentieth of which leave at once; 20 homes have stopped. */
    private fun atTargetSize(): Membership {
        val membership = Membership(entry(0), settings, 15.minutes, random = Random(1))
        val backends = List(910) {
            val server = BackendServer(BackendId("worker-$it"), FailureDomainId("region-a-${it % 4}"), 8)
            ListedBackend(server, "10.20.${it / 250}.${it % 250}", 9_000, incarnation = EPOCH_MS + it)
        }
        membership.listFetched(InstanceList((1 until 32).map(::entry), backends))
        backends.take(45).forEach { membership.backendReplied(it.server.id, it.incarnation, isLeaving = true) }
        (40 until 60).forEach {
            val notice = entry(it)
            membership.successorFound(
                SuccessorNotice(
                    notice.instance,
                    notice.incarnation,
                    entry(1).instance,
                    entry(1).incarnation,
                    60.seconds,
                ),
            )
        }
        return membership
    }

    private fun entry(index: Int) = EntryMember(
        InstanceId("entry-$index"),
        FailureDomainId("region-a-${index % 4}"),
        Incarnation(EPOCH_MS + index),
        "10.20.30.$index",
        8_082,
        8_081,
        sequence = 3,
    )

    private fun request(membership: Membership): Heartbeat =
        membership.heartbeat(123_456, demands = List(3) { QuotaDemand(TeamId("team-number-$it"), 1_234.5) })

    private fun reply(membership: Membership): Heartbeat = membership.heartbeat(
        123_456,
        grants = List(3) { QuotaGrant(TeamId("team-number-$it"), 1_234.5, 10.seconds, 1_000_000L + it) },
    )

    @Test
    fun `each message at the target size is within the size that the settings give`() {
        val membership = atTargetSize()
        repeat(200) {
            request(membership).toMessage().serializedSize shouldBeLessThanOrEqualTo settings.heartbeatBytes
            reply(membership).toMessage().serializedSize shouldBeLessThanOrEqualTo settings.heartbeatBytes
        }
        // A message that carries nothing but its sender would pass as well.
        val news = List(50) { request(membership) }
        news.forEach { it.leavingBackends.size shouldBeGreaterThan 0 }
        // Without quota demands there is room for the other kinds.
        val calm = List(50) { membership.heartbeat(123_456) }
        calm.forEach { it.members.size shouldBeGreaterThan 0 }
    }

    @Test
    fun `the bytes on the connections of an instance stay within 4 KB in a second`() {
        val membership = atTargetSize()
        TestInstance("entry-1").use { peer ->
            CountingRelay(peer.network.peerPort).use { relay ->
                val client = PeerClient(ClientFactory.ofDefault(), 10.seconds)
                val address = PeerAddress("127.0.0.1", relay.port)
                fun exchange() = client.heartbeat(address, request(membership).toMessage(), 10.seconds).join()
                repeat(WARM_UP) { exchange() }
                val before = relay.bytes.get()
                repeat(EXCHANGES) { exchange() }
                val perExchange = (relay.bytes.get() - before).toDouble() / EXCHANGES
                val replyBytes = peerReplyBytes(peer)
                // The peer of the test has little to tell: its replies count as full ones.
                val full = perExchange - replyBytes + settings.heartbeatBytes
                // Each instance sends to as many peers as on average send to it.
                val heartbeats = 2 * settings.fanOut * full
                val polls = pollBytes() * 1_500.0 / PlatformSettings().rulesIntervalMs
                println("at the target size, bytes/s: heartbeats $heartbeats, polls $polls")
                heartbeats + polls shouldBeLessThanOrEqualTo 4_096.0
            }
        }
    }

    private fun peerReplyBytes(peer: TestInstance): Int {
        val client = PeerClient(ClientFactory.ofDefault(), 10.seconds)
        val address = PeerAddress("127.0.0.1", peer.network.peerPort)
        return client.heartbeat(address, request(atTargetSize()).toMessage(), 10.seconds).join().serializedSize
    }

    /** Bytes of a read that finds a row unchanged. The list is read half as often as the rules. */
    private fun pollBytes(): Double = FakePlatform().use { platform ->
        CountingRelay(platform.settings.url.substringAfterLast(':').toInt()).use { relay ->
            val through = platform.settings.copy(url = "http://127.0.0.1:${relay.port}", timeoutMs = 10_000)
            val client = PlatformClient(through, ClientFactory.ofDefault())
            client.write("rules", "current", String.serializer(), "text", WriteCondition.Absent).join()
            fun read() = client.read("rules", "current", String.serializer(), "\"1\"").join()
            repeat(WARM_UP) { read().getOrNull() shouldBe Fetched.Unchanged }
            val before = relay.bytes.get()
            repeat(EXCHANGES) { read() }
            (relay.bytes.get() - before).toDouble() / EXCHANGES
        }
    }

    private companion object {
        const val EPOCH_MS = 1_790_000_000_000
        const val WARM_UP = 20
        const val EXCHANGES = 200
    }
}
